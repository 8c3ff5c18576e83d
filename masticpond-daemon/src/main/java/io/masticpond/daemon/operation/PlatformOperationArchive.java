package io.masticpond.daemon.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.operation.ClaimBatcher;
import io.masticpond.core.operation.ClaimCall;
import io.masticpond.core.operation.ClaimContents;
import io.masticpond.core.operation.ClaimEntry;
import io.masticpond.core.operation.ClaimResult;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.operation.OutcomeBatcher;
import io.masticpond.core.operation.OutcomeCall;
import io.masticpond.core.operation.StoreAnswer;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.masticpond.daemon.steering.RequestCompletion;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link OperationArchive} implementation that calls the platform from an event loop of its own.
 *
 * <p>When the queue of the event loop is full, a claim is refused and an outcome is not copied;
 * neither blocks the steering thread.
 *
 * @since 0.1
 */
public final class PlatformOperationArchive implements OperationArchive {

    private static final Logger sLogger = LoggerFactory.getLogger(PlatformOperationArchive.class);
    private static final Duration PLATFORM_CALL_PERIOD = Duration.ofMillis(5);
    private static final Duration IDLE_REMOVAL_PERIOD = Duration.ofSeconds(30);

    private final EventLoop mEventLoop;
    private final ObjectStore mStore;
    private final Incarnation mHome;
    private final ClaimBatcher mClaims;
    private final OutcomeBatcher<RequestCompletion.Answered> mOutcomes;
    private final Executor mSteering;
    private final List<CompletableFuture<Boolean>> mFlushes = new ArrayList<>();

    /**
     * Creates the archive of a home; the event loop must not be started yet.
     *
     * @param eventLoop the event loop to which the batchers are confined
     * @param store the object store of the platform
     * @param home the incarnation of this instance
     * @param claims batches claims
     * @param outcomes batches outcomes
     * @param steering runs tasks on the steering thread, and may block until its queue has room
     */
    public PlatformOperationArchive(
            EventLoop eventLoop,
            ObjectStore store,
            Incarnation home,
            ClaimBatcher claims,
            OutcomeBatcher<RequestCompletion.Answered> outcomes,
            Executor steering) {
        mEventLoop = Assert.notNull(eventLoop, "An event loop");
        mStore = Assert.notNull(store, "An object store");
        mHome = Assert.notNull(home, "A home");
        mClaims = Assert.notNull(claims, "A batcher of claims");
        mOutcomes = Assert.notNull(outcomes, "A batcher of outcomes");
        mSteering = Assert.notNull(steering, "An executor");
        mEventLoop.schedulePeriodically(PLATFORM_CALL_PERIOD, this::sendPendingCalls);
        mEventLoop.schedulePeriodically(IDLE_REMOVAL_PERIOD, mClaims::removeIdleBuckets);
    }

    @Override
    public void claim(ClaimEntry entry, long deadlineNanos, Consumer<ClaimResult> listener) {
        Consumer<ClaimResult> onSteering =
                result -> mSteering.execute(() -> listener.accept(result));
        boolean accepted =
                mEventLoop.offer(
                        () -> {
                            mClaims.submit(entry, deadlineNanos, onSteering);
                            sendClaimCalls();
                        });
        if (!accepted) {
            listener.accept(new ClaimResult.Unavailable());
        }
    }

    @Override
    public void keep(KeptOutcome<RequestCompletion.Answered> outcome) {
        if (!mEventLoop.offer(() -> mOutcomes.add(outcome))) {
            sLogger.warn(
                    "ONCE  Outcome not copied to the platform: the event loop's queue is full");
        }
    }

    @Override
    public void find(
            OperationKey key,
            Consumer<Optional<KeptOutcome<RequestCompletion.Answered>>> listener) {
        CompletableFuture<Void> unused =
                mStore.read(OperationObjects.outcomes(key.home(), OutcomeBatcher.segment(key)))
                        .thenAccept(
                                answer ->
                                        mSteering.execute(
                                                () -> listener.accept(outcome(key, answer))));
    }

    /**
     * Writes all pending outcomes, before a planned stop.
     *
     * @param timeout the longest time to try
     * @return a future that completes with {@code true} once the platform holds every outcome, or
     *     with {@code false} after the timeout or if the event loop is closed
     */
    public CompletableFuture<Boolean> flush(Duration timeout) {
        CompletableFuture<Boolean> flushed = new CompletableFuture<>();
        if (!mEventLoop.put(() -> mFlushes.add(flushed))) {
            flushed.complete(false);
        }
        return flushed.completeOnTimeout(false, timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void sendPendingCalls() {
        sendClaimCalls();
        if (mFlushes.isEmpty()) {
            mOutcomes.nextCalls().forEach(this::call);
            return;
        }
        mOutcomes.flushCalls().forEach(this::call);
        if (mOutcomes.unwrittenCount() == 0) {
            mFlushes.forEach(flushed -> flushed.complete(true));
        }
        mFlushes.removeIf(CompletableFuture::isDone);
    }

    private void sendClaimCalls() {
        mClaims.nextCalls().forEach(this::call);
    }

    private void call(ClaimCall call) {
        ObjectKey key = OperationObjects.claims(call.bucket());
        CompletableFuture<StoreAnswer<ClaimContents>> answer;
        if (call instanceof ClaimCall.Write write) {
            byte[] bytes = OperationObjects.toBytes(write.contents());
            answer =
                    mStore.write(key, write.contents().version(), bytes)
                            .thenApply(result -> written(result, PlatformOperationArchive::claims));
        } else {
            answer = mStore.read(key).thenApply(PlatformOperationArchive::claims);
        }
        CompletableFuture<Void> unused =
                answer.thenAccept(
                        result ->
                                mEventLoop.put(
                                        () -> {
                                            mClaims.onAnswer(call, result);
                                            sendClaimCalls();
                                        }));
    }

    private void call(OutcomeCall<RequestCompletion.Answered> call) {
        ObjectKey key = OperationObjects.outcomes(mHome, call.segment());
        CompletableFuture<StoreAnswer<Long>> answer;
        if (call instanceof OutcomeCall.Write<RequestCompletion.Answered> write) {
            byte[] bytes = OutcomeCodec.toBytes(write.outcomes());
            answer =
                    mStore.write(key, write.expectedVersion(), bytes)
                            .thenApply(
                                    result -> written(result, PlatformOperationArchive::version));
        } else if (call instanceof OutcomeCall.Delete<RequestCompletion.Answered> delete) {
            answer =
                    mStore.delete(key, delete.expectedVersion())
                            .thenApply(
                                    result ->
                                            written(
                                                    result.map(ignored -> ObjectStore.ABSENT),
                                                    PlatformOperationArchive::version));
        } else {
            answer = mStore.read(key).thenApply(PlatformOperationArchive::version);
        }
        CompletableFuture<Void> unused =
                answer.thenAccept(result -> mEventLoop.put(() -> mOutcomes.onAnswer(call, result)));
    }

    private static StoreAnswer<ClaimContents> claims(
            Either<PlatformError, Optional<StoredObject>> answer) {
        return held(
                answer,
                object -> object.map(OperationObjects::toClaims).orElse(ClaimContents.ABSENT));
    }

    private static StoreAnswer<Long> version(Either<PlatformError, Optional<StoredObject>> answer) {
        return held(answer, object -> object.map(StoredObject::version).orElse(ObjectStore.ABSENT));
    }

    private static <C> StoreAnswer<C> held(
            Either<PlatformError, Optional<StoredObject>> answer,
            Function<Optional<StoredObject>, C> reader) {
        if (answer.isLeft()) {
            return failed(answer.getLeft());
        }
        try {
            return new StoreAnswer.Held<>(reader.apply(answer.get()));
        } catch (IllegalArgumentException e) {
            sLogger.error("ONCE  Failed to decode an object read from the platform", e);
            return new StoreAnswer.Unavailable<>();
        }
    }

    private static <C> StoreAnswer<C> written(
            Either<PlatformError, Long> answer,
            Function<Either<PlatformError, Optional<StoredObject>>, StoreAnswer<C>> reader) {
        if (answer.isRight()) {
            return new StoreAnswer.Written<>(answer.get());
        }
        if (answer.getLeft() instanceof PlatformError.Conflict conflict
                && conflict.current().isPresent()) {
            return reader.apply(Either.right(conflict.current()));
        }
        return failed(answer.getLeft());
    }

    private static <C> StoreAnswer<C> failed(PlatformError error) {
        if (error instanceof PlatformError.Uncertain || error instanceof PlatformError.Conflict) {
            return new StoreAnswer.Unknown<>();
        }
        if (error instanceof PlatformError.OverBudget) {
            return new StoreAnswer.Postponed<>();
        }
        if (error instanceof PlatformError.Rejected) {
            sLogger.error("ONCE  Platform rejected a call: {}", error.message());
        }
        return new StoreAnswer.Unavailable<>();
    }

    private static Optional<KeptOutcome<RequestCompletion.Answered>> outcome(
            OperationKey key, Either<PlatformError, Optional<StoredObject>> answer) {
        if (answer.isLeft() || answer.get().isEmpty()) {
            return Optional.empty();
        }
        try {
            return OutcomeCodec.fromBytes(answer.get().get().value()).stream()
                    .filter(outcome -> outcome.key().equals(key))
                    .findFirst();
        } catch (IllegalArgumentException e) {
            sLogger.error("ONCE  Failed to decode the outcomes of {}", key.home(), e);
            return Optional.empty();
        }
    }
}
