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
 * Hand-over of the outcomes of this home at a planned stop, to the platform and to another
 * instance. Thread-safe, but must not be called on the thread of an event loop, since it blocks.
 *
 * @since 0.1
 */
public final class OperationHandover {

    private final Incarnation mHome;
    private final EventLoop mSteering;
    private final OnceOnlyGuard mGuard;
    private final PlatformOperationArchive mArchive;
    private final OperationPeers mPeers;

    /**
     * Creates a hand-over that has not started.
     *
     * @param home the incarnation of this instance
     * @param steering the event loop to which the guard is confined
     * @param guard the guard
     * @param archive copies outcomes to the platform
     * @param peers hands outcomes to another instance
     */
    public OperationHandover(
            Incarnation home,
            EventLoop steering,
            OnceOnlyGuard guard,
            PlatformOperationArchive archive,
            OperationPeers peers) {
        mHome = Assert.notNull(home, "A home");
        mSteering = Assert.notNull(steering, "An event loop");
        mGuard = Assert.notNull(guard, "A guard");
        mArchive = Assert.notNull(archive, "An operation archive");
        mPeers = Assert.notNull(peers, "Peers");
    }

    /**
     * Rejects further operations and hands over the outcomes. The outcome of an operation that is
     * still running is not among them.
     *
     * @param timeout the longest time to try
     * @return whether no operation was running and the platform or another instance holds every
     *     outcome
     */
    public boolean handOver(Duration timeout) {
        CompletableFuture<List<KeptOutcome<RequestCompletion.Answered>>> outcomes =
                new CompletableFuture<>();
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        boolean accepted =
                mSteering.put(
                        () -> {
                            mGuard.stop();
                            ended.complete(mGuard.running() == 0);
                            outcomes.complete(mGuard.keptOutcomes());
                        });
        if (!accepted) {
            return false;
        }
        boolean allEnded =
                ended.completeOnTimeout(false, timeout.toMillis(), TimeUnit.MILLISECONDS).join();
        CompletableFuture<Boolean> archived = mArchive.flush(timeout);
        CompletableFuture<Boolean> adopted =
                outcomes.thenCompose(this::adopt)
                        .completeOnTimeout(false, timeout.toMillis(), TimeUnit.MILLISECONDS);
        return archived.thenCombine(adopted, Boolean::logicalOr).join() && allEnded;
    }

    private CompletableFuture<Boolean> adopt(
            List<KeptOutcome<RequestCompletion.Answered>> outcomes) {
        return mPeers.handOver(mHome, outcomes).thenApply(count -> count == outcomes.size());
    }
}
