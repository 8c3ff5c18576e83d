package io.masticpond.entry.wiring;

import io.masticpond.core.freshness.FreshnessTracker;
import io.masticpond.core.time.Moment;
import io.masticpond.entry.peer.PeerInstance;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Selector of the instances whose proof this instance requests. Confined to the control thread. */
final class ProofTargets {

    /** The number of preferred instances of the own region that are queried in turn. */
    private static final int REGION_TARGETS = 2;

    /**
     * The number of instances of any region that are queried in addition, when those of the own
     * region have no proof.
     */
    private static final int ANY_REGION_TARGETS = 2;

    private final PeerInstance mSelf;
    private List<PeerInstance> mAlive = List.of();
    private List<PeerInstance> mRegionOrder = List.of();
    private List<PeerInstance> mPreferred = List.of();
    private List<PeerInstance> mOthers = List.of();
    private long mNextInRegion;
    private long mNextIndex;

    ProofTargets(PeerInstance self) {
        mSelf = self;
    }

    /** Updates the instances that are alive, of which this one is one. */
    void update(List<PeerInstance> alive) {
        if (alive == mAlive) {
            return;
        }
        mAlive = alive;
        List<PeerInstance> inRegion =
                alive.stream().filter(each -> each.region().equals(mSelf.region())).toList();
        mRegionOrder = PeerOrder.of("proof/" + mSelf.region().value(), inRegion);
        mPreferred = withoutSelf(mRegionOrder.stream().limit(REGION_TARGETS));
        mOthers = withoutSelf(alive.stream());
    }

    private List<PeerInstance> withoutSelf(Stream<PeerInstance> instances) {
        return instances.filter(each -> !each.id().equals(mSelf.id())).toList();
    }

    /** Returns the rank of this instance among those of its region that read the store. */
    int rank() {
        for (int rank = 0; rank < mRegionOrder.size(); rank++) {
            if (mRegionOrder.get(rank).id().equals(mSelf.id())) {
                return rank;
            }
        }
        return mRegionOrder.size();
    }

    /** Selects the instances to be queried now, possibly none. */
    List<PeerInstance> select(FreshnessTracker freshness, Moment now) {
        List<PeerInstance> targets = new ArrayList<>();
        if (rank() != 0 && !mPreferred.isEmpty() && freshness.mustQueryRegion(now)) {
            targets.add(mPreferred.get((int) (mNextInRegion++ % mPreferred.size())));
        }
        if (freshness.mustQueryOtherRegions(now)) {
            for (int i = 0; i < ANY_REGION_TARGETS && !mOthers.isEmpty(); i++) {
                targets.add(mOthers.get((int) (mNextIndex++ % mOthers.size())));
            }
        }
        return targets;
    }
}
