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
 * Runs calls to the platform on one duty: budget, breakers, choice of address, retries of reads.
 *
 * <p>A call that finds the duty's ring full fails as {@link PlatformError.Away}. A call that
 * changes an object is sent once; only if no byte of it was sent does it go on to the next address.
 */
final class CallRunner implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(CallRunner.class);
    private static final int RING_CAPACITY = 1_024;
    private static final Duration RETRY_CHECK = Duration.ofMillis(10);
    private static final int SERVER_ERRORS = 500;
    private static final long MAXIMUM_RETRY_AFTER_SECONDS = 30;
    private static final PlatformError BUSY =
            new PlatformError.Away("Too many calls to the platform wait in this process.");
    private static final PlatformError STANDING_OFF =
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
    private final EventLoop mDuty;
    private final PriorityQueue<Retry> mRetries = new PriorityQueue<>();
    private final Set<PendingCall<?>> mOpen = new LinkedHashSet<>();
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
        Backoff open = new Backoff(settings.breakerBase(), settings.breakerMaximum(), random);
        mEndpoints =
                new Endpoints(
                        settings.addresses(),
                        () -> new Breaker(timeSource, settings.breakerThreshold(), open));
        mDuty = new EventLoop("platform", RING_CAPACITY, timeSource);
        mDuty.every(RETRY_CHECK, this::retryDue);
        mDuty.start();
    }

    <T> CompletableFuture<Either<PlatformError, T>> run(PendingCall<T> call) {
        if (!mDuty.offer(() -> start(call))) {
            call.complete(Either.left(BUSY));
        }
        return call.future();
    }

    @Override
    public void close() {
        mDuty.offer(this::giveUp);
        mDuty.close();
        mTransport.close();
    }

    private void giveUp() {
        mClosed = true;
        for (PendingCall<?> call : List.copyOf(mOpen)) {
            boolean sent = call.attempts() > 0;
            PlatformError closed = new PlatformError.Away("The client of the platform is closed.");
            finish(call, Either.left(sent ? call.kind().lost(closed.message()) : closed));
        }
    }

    private <T> void start(PendingCall<T> call) {
        mOpen.add(call);
        attempt(call);
    }

    private <T> void attempt(PendingCall<T> call) {
        if (mClosed || mTransport.isFull()) {
            finish(call, Either.left(call.lastErrorOr(BUSY)));
            return;
        }
        Optional<Endpoint> endpoint = mEndpoints.choose();
        if (endpoint.isEmpty()) {
            finish(call, Either.left(call.lastErrorOr(STANDING_OFF)));
            return;
        }
        if (!mBudget.take(call.kind().priority())) {
            finish(call, Either.left(call.lastErrorOr(OVER_BUDGET)));
            return;
        }
        send(call, endpoint.get());
    }

    private <T> void send(PendingCall<T> call, Endpoint endpoint) {
        call.addAttempt();
        mObserver.attempted(call.kind(), endpoint.address());
        mTransport.send(
                call.request(endpoint.address()),
                call.timeout(),
                end -> {
                    if (!mDuty.offer(() -> end(call, endpoint, end))) {
                        call.complete(Either.left(call.kind().lost("The ring is full.")));
                    }
                });
    }

    private <T> void end(PendingCall<T> call, Endpoint endpoint, TransportResult end) {
        if (call.future().isDone()) {
            return;
        }
        if (end instanceof Answered answer) {
            answered(call, endpoint, answer);
        } else if (end instanceof NotSent notSent) {
            notSent(call, endpoint, notSent);
        } else if (end instanceof Broken broken) {
            failed(endpoint);
            fail(call, call.kind().lost("The answer was lost: " + broken.reason()), Duration.ZERO);
        }
    }

    private <T> void answered(PendingCall<T> call, Endpoint endpoint, Answered answer) {
        Either<PlatformError, T> result = call.read(answer);
        boolean understood = result.isRight() || isOrdinary(result.getLeft());
        if (answer.status() >= SERVER_ERRORS || !understood) {
            failed(endpoint);
        } else {
            succeeded(endpoint);
        }
        if (result.isRight() || isOrdinary(result.getLeft())) {
            finish(call, result);
        } else {
            fail(call, result.getLeft(), retryAfter(answer));
        }
    }

    private <T> void notSent(PendingCall<T> call, Endpoint endpoint, NotSent end) {
        failed(endpoint);
        call.setLastError(new PlatformError.Away("The platform: " + end.reason()));
        if (call.attempts() < Math.max(mSettings.attempts(), mSettings.addresses().size())) {
            if (call.attempts() < mSettings.addresses().size()) {
                attempt(call);
                return;
            }
            if (!call.kind().changes()) {
                retryLater(call, Duration.ZERO);
                return;
            }
        }
        finish(call, Either.left(call.lastErrorOr(BUSY)));
    }

    /** Takes an error that another attempt may mend, if the call may have one. */
    private <T> void fail(PendingCall<T> call, PlatformError error, Duration least) {
        call.setLastError(error);
        if (call.kind().changes() || call.attempts() >= mSettings.attempts()) {
            finish(call, Either.left(error));
            return;
        }
        retryLater(call, least);
    }

    private void retryLater(PendingCall<?> call, Duration least) {
        long delay = Math.max(least.toNanos(), mRetryBackoff.delay(call.attempts()).toNanos());
        mRetries.add(new Retry(call, mTimeSource.monotonicNanos() + delay));
    }

    private void retryDue() {
        long now = mTimeSource.monotonicNanos();
        while (!mRetries.isEmpty() && mRetries.peek().dueNanos() - now <= 0) {
            attempt(mRetries.poll().call());
        }
    }

    private <T> void finish(PendingCall<T> call, Either<PlatformError, T> result) {
        mOpen.remove(call);
        if (call.complete(result)) {
            Optional<PlatformError> error =
                    result.isLeft() ? Optional.of(result.getLeft()) : Optional.empty();
            mObserver.ended(call.kind(), error, mTimeSource.monotonicNanos() - call.startNanos());
        }
    }

    private void succeeded(Endpoint endpoint) {
        Breaker.State before = endpoint.breaker().state();
        mEndpoints.succeed(endpoint);
        if (before != Breaker.State.CLOSED) {
            sLogger.info("PLATFORM  The platform at {} answers again.", endpoint.address());
            mObserver.breakerChanged(endpoint.address(), Breaker.State.CLOSED);
        }
    }

    private void failed(Endpoint endpoint) {
        Breaker.State before = endpoint.breaker().state();
        mEndpoints.fail(endpoint);
        Breaker.State after = endpoint.breaker().state();
        if (before == Breaker.State.CLOSED && after == Breaker.State.OPEN) {
            sLogger.warn(
                    "PLATFORM  The platform at {} does not answer; calls to it stop for a time.",
                    endpoint.address());
        }
        if (before != after) {
            mObserver.breakerChanged(endpoint.address(), after);
        }
    }

    /** Tells whether an error is a proper answer, which another attempt would not change. */
    private static boolean isOrdinary(PlatformError error) {
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

    /** A call that waits for its next attempt. */
    private record Retry(PendingCall<?> call, long dueNanos) implements Comparable<Retry> {

        @Override
        public int compareTo(Retry other) {
            return Long.signum(dueNanos - other.dueNanos);
        }
    }
}
