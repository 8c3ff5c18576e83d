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
 * Finds the instances that have started since the last look and that this one is to tell what it
 * knows. A few others tell each, the same for all who see the same instances.
 */
final class StartedPeers {

    private static final int TELLERS = 3;

    private final InstanceId mSelf;
    private Set<Long> mKnown = Set.of();
    private List<PeerInstance> mAlive = List.of();

    StartedPeers(InstanceId self) {
        mSelf = self;
    }

    /** Gives those that have started since this was asked last. */
    List<PeerInstance> look(List<PeerInstance> alive) {
        if (alive == mAlive) {
            return List.of();
        }
        List<PeerInstance> started = new ArrayList<>();
        Set<Long> known = new HashSet<>();
        for (PeerInstance each : alive) {
            long run = each.incarnation() + HashMixer.hash(each.id().value());
            known.add(run);
            if (!mKnown.contains(run) && tellers(each, alive).contains(mSelf)) {
                started.add(each);
            }
        }
        mAlive = alive;
        mKnown = known;
        return started;
    }

    private static List<InstanceId> tellers(PeerInstance started, List<PeerInstance> alive) {
        List<InstanceId> others =
                alive.stream()
                        .map(PeerInstance::id)
                        .filter(id -> !id.equals(started.id()))
                        .toList();
        return Rendezvous.order(started.id().value(), others).stream().limit(TELLERS).toList();
    }
}
