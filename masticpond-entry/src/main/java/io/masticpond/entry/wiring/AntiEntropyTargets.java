package io.masticpond.entry.wiring;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.core.support.HashMixer;
import io.masticpond.entry.peer.PeerInstance;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selector of the instances to which this instance sends its state in each anti-entropy round:
 * those that have started since the last round, and in every fourth round one other in turn, which
 * compensates for lost datagrams. Only 3 others send to an instance because it has started, and all
 * instances that see the same members choose the same 3; what others send to it in turn comes in
 * addition.
 */
final class AntiEntropyTargets {

    private static final int REPORTERS = 3;
    private static final int ROUNDS_PER_REPEAT = 4;

    private final InstanceId mSelf;
    private long mRounds;
    private long mNextIndex;
    private Set<Long> mKnown = Set.of();
    private List<PeerInstance> mAlive = List.of();

    AntiEntropyTargets(InstanceId self) {
        mSelf = self;
        mNextIndex = HashMixer.hash(self.value());
    }

    /** Returns the targets of the next round, and begins that round. */
    List<PeerInstance> select(List<PeerInstance> alive) {
        List<PeerInstance> targets = new ArrayList<>(started(alive));
        if (mRounds++ % ROUNDS_PER_REPEAT == 0) {
            List<PeerInstance> others =
                    alive.stream().filter(each -> !each.id().equals(mSelf)).toList();
            if (!others.isEmpty()) {
                targets.add(others.get(Math.floorMod(mNextIndex++, others.size())));
            }
        }
        return targets;
    }

    private List<PeerInstance> started(List<PeerInstance> alive) {
        if (alive == mAlive) {
            return List.of();
        }
        List<PeerInstance> started = new ArrayList<>();
        Set<Long> known = new HashSet<>();
        for (PeerInstance each : alive) {
            long runKey = each.incarnation() + HashMixer.hash(each.id().value());
            known.add(runKey);
            if (!mKnown.contains(runKey) && reporters(each, alive).contains(mSelf)) {
                started.add(each);
            }
        }
        mAlive = alive;
        mKnown = known;
        return started;
    }

    private static List<InstanceId> reporters(PeerInstance started, List<PeerInstance> alive) {
        List<InstanceId> others =
                alive.stream()
                        .map(PeerInstance::id)
                        .filter(id -> !id.equals(started.id()))
                        .toList();
        return Rendezvous.order(started.id().value(), others).stream().limit(REPORTERS).toList();
    }
}
