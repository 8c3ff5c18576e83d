package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.platform.Endpoints.Endpoint;
import io.masticpond.daemon.platform.TransportResult.Answered;
import io.masticpond.daemon.platform.TransportResult.Broken;
import io.masticpond.daemon.platform.TransportResult.NotSent;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executor of calls to the platform on one event loop, with budget, circuit breakers, choice of
 * address and retries of reads.
 *
 * <p>A call submitted while the event loop's queue is full fails with {@link PlatformError.Away}. A
 * call that modifies an object is sent once; it is tried at the next address only if no byte of it
 * was sent.
 */
final class CallRunner implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(CallRunner.class);
    private static final int QUEUE_CAPACITY = 1_024;
    private static final Duration RETRY_CHECK_PERIOD = Duration.ofMillis(10);
    private static final int MINIMUM_SERVER_ERROR = 500;
    private static final long MAXIMUM_RETRY_AFTER_SECONDS = 30;
    private static final PlatformError TOO_MANY_CALLS =
            new PlatformError.Away("Too many calls to the platform wait in this process.");
    private static final PlatformError ALL_BREAKERS_OPEN =
            new PlatformError.Away("The platform has not answered of late; no call was made.");
    private static final PlatformError OVER_BUDGET =
            new PlatformError.OverBudget("The calls a second to the platform are used up.");

    private final TimeSource mTimeSource;
    private final PlatformClientSettings mSettings;
    private final PlatformObserver mObserver;
    private final HttpTransport mTransport;
    private final CallBudget mBudget;
    private final Endpoints mEndpoints;
    private final Backoff mRetryBackoff;
    private final EventLoop mEventLoop;
    private final PriorityQueue<Retry> mRetries = new PriorityQueue<>();
    private final Set<PendingCall<?>> mOpenCalls = new LinkedHashSet<>();
    private boolean mClosed;

    CallRunner(
            PlatformClientSettings settings,
            TimeSource timeSource,
            UniformRandomProvider random,
            PlatformObserver observer) {
        mSettings = Assert.notNull(settings, "The settings of the platform's client");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mObserver = Assert.notNull(observer, "An observer");
        mTransport = new HttpTransport(settings.connectTimeout());
        mBudget = new CallBudget(timeSource, settings.callsPerSecond());
        mRetryBackoff = new Backoff(settings.retryBase(), settings.retryMaximum(), random);
        Backoff breakerBackoff =
                new Backoff(settings.breakerBase(), settings.breakerMaximum(), random);
        mEndpoints =
                new Endpoints(
                        settings.addresses(),
                        () -> new Breaker(timeSource, settings.breakerThreshold(), breakerBackoff));
        mEventLoop = new EventLoop("platform", QUEUE_CAPACITY, timeSource);
        mEventLoop.schedulePeriodically(RETRY_CHECK_PERIOD, this::runDueRetries);
        mEventLoop.start();
    }

    <T> CompletableFuture<Either<PlatformError, T>> run(PendingCall<T> call) {
        if (!mEventLoop.offer(() -> start(call))) {
            call.complete(Either.left(TOO_MANY_CALLS));
        }
        return call.future();
    }

    @Override
    public void close() {
        mEventLoop.offer(this::failOpenCalls);
        mEventLoop.close();
        mTransport.close();
    }

    private void failOpenCalls() {
        mClosed = true;
        for (PendingCall<?> call : List.copyOf(mOpenCalls)) {
            boolean sent = call.attempts() > 0;
            PlatformError closed = new PlatformError.Away("The client of the platform is closed.");
            complete(
                    call,
                    Either.left(sent ? call.kind().lostAnswerError(closed.message()) : closed));
        }
    }

    private <T> void start(PendingCall<T> call) {
        mOpenCalls.add(call);
        attempt(call);
    }

    private <T> void attempt(PendingCall<T> call) {
        if (mClosed || mTransport.isFull()) {
            complete(call, Either.left(call.lastErrorOr(TOO_MANY_CALLS)));
            return;
        }
        Optional<Endpoint> endpoint = mEndpoints.choose();
        if (endpoint.isEmpty()) {
            complete(call, Either.left(call.lastErrorOr(ALL_BREAKERS_OPEN)));
            return;
        }
        if (!mBudget.tryAcquire(call.kind().priority())) {
            complete(call, Either.left(call.lastErrorOr(OVER_BUDGET)));
            return;
        }
        send(call, endpoint.get());
    }

    private <T> void send(PendingCall<T> call, Endpoint endpoint) {
        call.addAttempt();
        mObserver.onAttempt(call.kind(), endpoint.address());
        mTransport.send(
                call.request(endpoint.address()),
                call.timeout(),
                result -> {
                    if (!mEventLoop.offer(() -> handleResult(call, endpoint, result))) {
                        call.complete(
                                Either.left(call.kind().lostAnswerError("The ring is full.")));
                    }
                });
    }

    private <T> void handleResult(PendingCall<T> call, Endpoint endpoint, TransportResult result) {
        if (call.future().isDone()) {
            return;
        }
        if (result instanceof Answered answer) {
            handleAnswer(call, endpoint, answer);
        } else if (result instanceof NotSent notSent) {
            handleNotSent(call, endpoint, notSent);
        } else if (result instanceof Broken broken) {
            recordFailure(endpoint);
            retryOrFail(
                    call,
                    call.kind().lostAnswerError("The answer was lost: " + broken.reason()),
                    Duration.ZERO);
        }
    }

    private <T> void handleAnswer(PendingCall<T> call, Endpoint endpoint, Answered answer) {
        Either<PlatformError, T> result = call.read(answer);
        boolean valid = result.isRight() || isDefinitive(result.getLeft());
        if (answer.status() >= MINIMUM_SERVER_ERROR || !valid) {
            recordFailure(endpoint);
        } else {
            recordSuccess(endpoint);
        }
        if (result.isRight() || isDefinitive(result.getLeft())) {
            complete(call, result);
        } else {
            retryOrFail(call, result.getLeft(), retryAfter(answer));
        }
    }

    private <T> void handleNotSent(PendingCall<T> call, Endpoint endpoint, NotSent result) {
        recordFailure(endpoint);
        call.setLastError(new PlatformError.Away("The platform: " + result.reason()));
        if (call.attempts() < Math.max(mSettings.attempts(), mSettings.addresses().size())) {
            if (call.attempts() < mSettings.addresses().size()) {
                attempt(call);
                return;
            }
            if (!call.kind().isMutating()) {
                scheduleRetry(call, Duration.ZERO);
                return;
            }
        }
        complete(call, Either.left(call.lastErrorOr(TOO_MANY_CALLS)));
    }

    /**
     * Schedules a retry after a transient error if the call may be retried, else completes it with
     * the error.
     */
    private <T> void retryOrFail(PendingCall<T> call, PlatformError error, Duration minimumDelay) {
        call.setLastError(error);
        if (call.kind().isMutating() || call.attempts() >= mSettings.attempts()) {
            complete(call, Either.left(error));
            return;
        }
        scheduleRetry(call, minimumDelay);
    }

    private void scheduleRetry(PendingCall<?> call, Duration minimumDelay) {
        long delay =
                Math.max(minimumDelay.toNanos(), mRetryBackoff.delay(call.attempts()).toNanos());
        mRetries.add(new Retry(call, mTimeSource.monotonicNanos() + delay));
    }

    private void runDueRetries() {
        long now = mTimeSource.monotonicNanos();
        while (!mRetries.isEmpty() && mRetries.peek().dueNanos() - now <= 0) {
            attempt(mRetries.poll().call());
        }
    }

    private <T> void complete(PendingCall<T> call, Either<PlatformError, T> result) {
        mOpenCalls.remove(call);
        if (call.complete(result)) {
            Optional<PlatformError> error =
                    result.isLeft() ? Optional.of(result.getLeft()) : Optional.empty();
            mObserver.onCallCompleted(
                    call.kind(), error, mTimeSource.monotonicNanos() - call.startNanos());
        }
    }

    private void recordSuccess(Endpoint endpoint) {
        Breaker.State previous = endpoint.breaker().state();
        mEndpoints.recordSuccess(endpoint);
        if (previous != Breaker.State.CLOSED) {
            sLogger.info("PLATFORM  The platform at {} is answering again", endpoint.address());
            mObserver.onBreakerStateChanged(endpoint.address(), Breaker.State.CLOSED);
        }
    }

    private void recordFailure(Endpoint endpoint) {
        Breaker.State previous = endpoint.breaker().state();
        mEndpoints.recordFailure(endpoint);
        Breaker.State current = endpoint.breaker().state();
        if (previous == Breaker.State.CLOSED && current == Breaker.State.OPEN) {
            sLogger.warn(
                    "PLATFORM  The platform at {} is not answering; suspending calls to it",
                    endpoint.address());
        }
        if (previous != current) {
            mObserver.onBreakerStateChanged(endpoint.address(), current);
        }
    }

    /** Determines whether an error is a valid answer, which a retry would not change. */
    private static boolean isDefinitive(PlatformError error) {
        return error instanceof PlatformError.Conflict || error instanceof PlatformError.Rejected;
    }

    private static Duration retryAfter(Answered answer) {
        try {
            long seconds = answer.retryAfter().map(Long::parseLong).orElse(0L);
            return Duration.ofSeconds(Math.max(0, Math.min(seconds, MAXIMUM_RETRY_AFTER_SECONDS)));
        } catch (NumberFormatException e) {
            return Duration.ZERO;
        }
    }

    /** Call that waits for its next attempt. */
    private record Retry(PendingCall<?> call, long dueNanos) implements Comparable<Retry> {

        @Override
        public int compareTo(Retry other) {
            return Long.signum(dueNanos - other.dueNanos);
        }
    }
}
