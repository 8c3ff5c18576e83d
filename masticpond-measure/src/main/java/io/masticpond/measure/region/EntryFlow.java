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

/** The way of one request from its entry instance, in the steps of the daemon's entry side. */
final class EntryFlow {

    private final RegionSimulation mWorld;
    private final FakeInstance mEntry;
    private final EntryRequest mRequest;
    private final Set<RegionId> mTried = new HashSet<>();
    private Queue<ShardRoute> mRoutes = new ArrayDeque<>();
    private RegionId mRegion;
    private FakeInstance mTarget;
    private int mAttempt;
    private boolean mEnded;

    EntryFlow(RegionSimulation world, FakeInstance entry, EntryRequest request) {
        mWorld = world;
        mEntry = entry;
        mRequest = request;
    }

    void start() {
        mEntry.add(this);
        mWorld.events().schedule(mRequest.head().deadlineNanos(), () -> end(Outcome.BROKEN));
        step();
    }

    private void step() {
        Either<Refusal, RegionId> choice = mEntry.selector().select(mRequest.head(), mTried);
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
        mEntry.directory().sent(route.shard());
        InstanceId id = route.admitters().get(choice);
        mTarget = mWorld.instance(id);
        int attempt = ++mAttempt;
        mWorld.network()
                .send(
                        mEntry.zone(),
                        mTarget.zone(),
                        () -> arrived(route, choice, attempt),
                        () -> atEntry(attempt, this::lost));
    }

    private void arrived(ShardRoute route, int choice, int attempt) {
        FakeInstance target = mTarget;
        if (!target.isAlive() || !target.directory().admitsHere(route.shard())) {
            back(target, attempt, () -> forward(route, choice + 1));
            return;
        }
        target.host(route.shard()).offer(mRequest, new Answers(target, route.shard(), attempt));
    }

    private void back(FakeInstance target, int attempt, Runnable action) {
        mWorld.network()
                .send(
                        target.zone(),
                        mEntry.zone(),
                        () -> atEntry(attempt, action),
                        () -> atEntry(attempt, this::lost));
    }

    /** Acts if the entry lives and still waits for this attempt. */
    private void atEntry(int attempt, Runnable action) {
        if (!mEnded && mEntry.isAlive() && attempt == mAttempt) {
            action.run();
        }
    }

    /** Tries the next shard of the region, and the next region after the last. */
    private void refusedByShard(RegionAttemptOutcome how) {
        if (mRoutes.isEmpty()) {
            refused(how);
            return;
        }
        forward(mRoutes.remove(), 0);
    }

    private void refused(RegionAttemptOutcome how) {
        mEntry.selector().ended(mRequest.head(), mRegion, how);
        mTried.add(mRegion);
        mRegion = null;
        step();
    }

    private void lost() {
        mEntry.selector().ended(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
        mRegion = null;
        end(Outcome.BROKEN);
    }

    /** Ends the request, once; a region that still holds it then counts as failed. */
    void end(Outcome outcome) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mEntry.remove(this);
        if (mRegion != null) {
            mEntry.selector().ended(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
        }
        mWorld.counts().ended(mRequest, outcome, mWorld.events().nanos());
    }

    /** Takes what the admitter says, back to the entry. */
    private final class Answers implements AdmitterHost.AttemptListener {

        private final FakeInstance mTargetInstance;
        private final Shard mShard;
        private final int mOfAttempt;

        Answers(FakeInstance target, Shard shard, int attempt) {
            mTargetInstance = target;
            mShard = shard;
            mOfAttempt = attempt;
        }

        @Override
        public void answered(Headroom headroom) {
            back(
                    mTargetInstance,
                    mOfAttempt,
                    () -> {
                        mEntry.observe(mShard, headroom);
                        mEntry.selector()
                                .ended(mRequest.head(), mRegion, RegionAttemptOutcome.ANSWERED);
                        mRegion = null;
                        end(Outcome.ANSWERED);
                    });
        }

        @Override
        public void refused(Headroom headroom) {
            back(
                    mTargetInstance,
                    mOfAttempt,
                    () -> {
                        mEntry.observe(mShard, headroom);
                        refusedByShard(RegionAttemptOutcome.REFUSED);
                    });
        }

        @Override
        public void lost() {
            back(mTargetInstance, mOfAttempt, EntryFlow.this::lost);
        }
    }
}
