package io.masticpond.measure.region;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.region.RegionAttemptOutcome;
import io.masticpond.core.request.Refusal;
import io.masticpond.daemon.steering.ShardDirectory.ShardRoute;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;

/**
 * Path of one request from its entry instance, in the same steps as the entry side of the daemon.
 */
final class EntryFlow {

    private final RegionSimulation mSimulation;
    private final FakeInstance mEntry;
    private final EntryRequest mRequest;
    private final Set<RegionId> mTriedRegions = new HashSet<>();
    private Queue<ShardRoute> mRoutes = new ArrayDeque<>();
    private RegionId mRegion;
    private FakeInstance mTarget;
    private int mAttempt;
    private boolean mEnded;

    EntryFlow(RegionSimulation simulation, FakeInstance entry, EntryRequest request) {
        mSimulation = simulation;
        mEntry = entry;
        mRequest = request;
    }

    void start() {
        mEntry.add(this);
        mSimulation.events().schedule(mRequest.head().deadlineNanos(), () -> end(Outcome.BROKEN));
        tryNextRegion();
    }

    private void tryNextRegion() {
        Either<Refusal, RegionId> choice = mEntry.selector().select(mRequest.head(), mTriedRegions);
        if (choice.isLeft()) {
            end(Outcome.REFUSED);
            return;
        }
        mRegion = choice.get();
        List<ShardRoute> routes = mEntry.directory().routes(mRequest.head().service(), mRegion);
        if (routes.isEmpty()) {
            refused(RegionAttemptOutcome.LOST);
            return;
        }
        mRoutes = new ArrayDeque<>(routes);
        forward(mRoutes.remove(), 0);
    }

    private void forward(ShardRoute route, int choice) {
        if (choice >= route.admitters().size()) {
            refusedByShard(RegionAttemptOutcome.LOST);
            return;
        }
        mEntry.directory().recordForward(route.shard());
        InstanceId id = route.admitters().get(choice);
        mTarget = mSimulation.instance(id);
        int attempt = ++mAttempt;
        mSimulation
                .network()
                .send(
                        mEntry.zone(),
                        mTarget.zone(),
                        () -> arrived(route, choice, attempt),
                        () -> runAtEntry(attempt, this::lost));
    }

    private void arrived(ShardRoute route, int choice, int attempt) {
        FakeInstance target = mTarget;
        if (!target.isRunning() || !target.directory().admitsHere(route.shard())) {
            sendToEntry(target, attempt, () -> forward(route, choice + 1));
            return;
        }
        target.host(route.shard())
                .offer(mRequest, new EntryNotifier(target, route.shard(), attempt));
    }

    private void sendToEntry(FakeInstance target, int attempt, Runnable action) {
        mSimulation
                .network()
                .send(
                        target.zone(),
                        mEntry.zone(),
                        () -> runAtEntry(attempt, action),
                        () -> runAtEntry(attempt, this::lost));
    }

    /**
     * Runs the action if the entry instance is running and this attempt is still the current one.
     */
    private void runAtEntry(int attempt, Runnable action) {
        if (!mEnded && mEntry.isRunning() && attempt == mAttempt) {
            action.run();
        }
    }

    /** Tries the next shard of the region, or the next region after the last shard. */
    private void refusedByShard(RegionAttemptOutcome outcome) {
        if (mRoutes.isEmpty()) {
            refused(outcome);
            return;
        }
        forward(mRoutes.remove(), 0);
    }

    private void refused(RegionAttemptOutcome outcome) {
        mEntry.selector().recordOutcome(mRequest.head(), mRegion, outcome);
        mTriedRegions.add(mRegion);
        mRegion = null;
        tryNextRegion();
    }

    private void lost() {
        mEntry.selector().recordOutcome(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
        mRegion = null;
        end(Outcome.BROKEN);
    }

    /**
     * Ends the request unless it has ended already. If a region still holds the request, that
     * attempt counts as failed.
     */
    void end(Outcome outcome) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mEntry.remove(this);
        if (mRegion != null) {
            mEntry.selector().recordOutcome(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
        }
        mSimulation.counts().ended(mRequest, outcome, mSimulation.events().nanos());
    }

    /** Listener that sends the admitter's answer back to the entry instance. */
    private final class EntryNotifier implements AdmitterHost.AttemptListener {

        private final FakeInstance mTargetInstance;
        private final Shard mShard;
        private final int mAttemptNumber;

        EntryNotifier(FakeInstance target, Shard shard, int attempt) {
            mTargetInstance = target;
            mShard = shard;
            mAttemptNumber = attempt;
        }

        @Override
        public void answered(Headroom headroom) {
            sendToEntry(
                    mTargetInstance,
                    mAttemptNumber,
                    () -> {
                        mEntry.observe(mShard, headroom);
                        mEntry.selector()
                                .recordOutcome(
                                        mRequest.head(), mRegion, RegionAttemptOutcome.ANSWERED);
                        mRegion = null;
                        end(Outcome.ANSWERED);
                    });
        }

        @Override
        public void refused(Headroom headroom) {
            sendToEntry(
                    mTargetInstance,
                    mAttemptNumber,
                    () -> {
                        mEntry.observe(mShard, headroom);
                        refusedByShard(RegionAttemptOutcome.REFUSED);
                    });
        }

        @Override
        public void lost() {
            sendToEntry(mTargetInstance, mAttemptNumber, EntryFlow.this::lost);
        }
    }
}
