package io.masticpond.daemon.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.steering.RequestCompletion;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Leaves the outcomes of this home behind at a planned stop: at the platform and at another
 * instance. Safe for all threads but those of duties.
 *
 * @since 0.1
 */
public final class OperationHandover {

    private final Incarnation mHome;
    private final EventLoop mSteering;
    private final OnceOnlyGuard mGuard;
    private final PlatformOperationArchive mOperations;
    private final OperationPeers mPeers;

    /**
     * Makes a hand-over that has not begun.
     *
     * @param home the run of this instance
     * @param steering the steering duty, which the guard belongs to
     * @param guard the guard
     * @param operations copies outcomes to the platform
     * @param peers hands outcomes to another instance
     */
    public OperationHandover(
            Incarnation home,
            EventLoop steering,
            OnceOnlyGuard guard,
            PlatformOperationArchive operations,
            OperationPeers peers) {
        mHome = Assert.notNull(home, "A home");
        mSteering = Assert.notNull(steering, "A duty");
        mGuard = Assert.notNull(guard, "A guard");
        mOperations = Assert.notNull(operations, "An operation duty");
        mPeers = Assert.notNull(peers, "Peers");
    }

    /**
     * Lets no further operation begin and leaves the outcomes behind.
     *
     * @param bound how long to try
     * @return whether the platform or another instance holds every outcome
     */
    public boolean handOver(Duration bound) {
        CompletableFuture<List<KeptOutcome<RequestCompletion.Answered>>> kept =
                new CompletableFuture<>();
        boolean taken =
                mSteering.put(
                        () -> {
                            mGuard.stop();
                            kept.complete(mGuard.keptOutcomes());
                        });
        if (!taken) {
            return false;
        }
        CompletableFuture<Boolean> copied = mOperations.flush(bound);
        CompletableFuture<Boolean> adopted =
                kept.thenCompose(this::adopt)
                        .completeOnTimeout(false, bound.toMillis(), TimeUnit.MILLISECONDS);
        return copied.thenCombine(adopted, Boolean::logicalOr).join();
    }

    private CompletableFuture<Boolean> adopt(
            List<KeptOutcome<RequestCompletion.Answered>> outcomes) {
        return mPeers.handOver(mHome, outcomes).thenApply(count -> count == outcomes.size());
    }
}
