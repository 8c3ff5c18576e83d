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
 * Chooses the instances that this one tells what it knows, at each of its looks: those that have
 * started since the last one, and from time to time one other in turn, which makes up for lost
 * datagrams. A few instances tell one that starts, the same for all who see the same instances.
 */
final class AntiEntropyTargets {

    private static final int REPORTERS = 3;
    private static final int LOOKS_FOR_A_REPEAT = 4;

    private final InstanceId mSelf;
    private long mLooks;
    private long mTurn;
    private Set<Long> mKnown = Set.of();
    private List<PeerInstance> mAlive = List.of();

    AntiEntropyTargets(InstanceId self) {
        mSelf = self;
        mTurn = HashMixer.hash(self.value());
    }

    /** Gives those that are to be told now. */
    List<PeerInstance> select(List<PeerInstance> alive) {
        List<PeerInstance> hearers = new ArrayList<>(started(alive));
        if (mLooks++ % LOOKS_FOR_A_REPEAT == 0 && !alive.isEmpty()) {
            hearers.add(alive.get(Math.floorMod(mTurn++, alive.size())));
        }
        return hearers;
    }

    private List<PeerInstance> started(List<PeerInstance> alive) {
        if (alive == mAlive) {
            return List.of();
        }
        List<PeerInstance> started = new ArrayList<>();
        Set<Long> known = new HashSet<>();
        for (PeerInstance each : alive) {
            long run = each.incarnation() + HashMixer.hash(each.id().value());
            known.add(run);
            if (!mKnown.contains(run) && reporters(each, alive).contains(mSelf)) {
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
