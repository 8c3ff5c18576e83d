package io.masticpond.entry.wiring;

import io.masticpond.core.id.InstanceId;
import io.masticpond.entry.peer.PeerInstance;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Order in which the instances verify their copies of the store, and the instances whose proofs
 * this one requests: the first ones of its availability zone, or, if it is one of them, the first
 * ones of all. So the requests to an instance grow with the number of zones and with the size of a
 * zone, not with the number of instances. Confined to the control thread.
 */
final class CopyProofTargets {

    /** The number of instances, of all and of each zone, whose proofs are requested. */
    private static final int READERS = 2;

    private final PeerInstance mSelf;
    private List<PeerInstance> mAlive = List.of();
    private Set<InstanceId> mSuspects = Set.of();
    private List<PeerInstance> mTargets = List.of();
    private int mRank;

    CopyProofTargets(PeerInstance self) {
        mSelf = self;
    }

    /**
     * Updates the instances.
     *
     * @param alive the instances that are alive, of which this one is one
     * @param suspects those of them that may have ended
     */
    void update(List<PeerInstance> alive, Set<InstanceId> suspects) {
        if (alive == mAlive && suspects.equals(mSuspects)) {
            return;
        }
        mAlive = alive;
        mSuspects = suspects;
        List<PeerInstance> sound =
                alive.stream().filter(each -> !suspects.contains(each.id())).toList();
        List<PeerInstance> order = PeerOrder.of("copy-proof", sound);
        mRank = (int) order.stream().takeWhile(each -> !isSelf(each)).count();
        List<PeerInstance> inZone =
                sound.stream().filter(each -> each.zone().equals(mSelf.zone())).toList();
        List<PeerInstance> zoneReaders =
                PeerOrder.first("watch/" + mSelf.zone().value(), inZone, READERS);
        mTargets = new ArrayList<>();
        if (zoneReaders.stream().noneMatch(this::isSelf)) {
            mTargets.addAll(zoneReaders);
        }
        order.stream().limit(READERS).filter(each -> !isSelf(each)).forEach(mTargets::add);
    }

    private boolean isSelf(PeerInstance instance) {
        return instance.id().equals(mSelf.id());
    }

    /** Returns the position of this instance among those that read the store for all. */
    int rank() {
        return mRank;
    }

    /** Returns the instance to request proofs from, empty if this one is alone. */
    Optional<PeerInstance> target(int attempt) {
        return mTargets.isEmpty()
                ? Optional.empty()
                : Optional.of(mTargets.get(attempt % mTargets.size()));
    }
}
