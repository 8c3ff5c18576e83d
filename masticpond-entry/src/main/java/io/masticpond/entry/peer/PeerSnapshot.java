package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.List;
import java.util.Set;

/** Immutable snapshot of the live instances. */
record PeerSnapshot(List<PeerInstance> alive, Set<InstanceId> suspects, int shareholders)
        implements PeerView {

    /** Returns the live instances of an availability zone. */
    List<PeerInstance> inZone(ZoneId zone) {
        return alive.stream().filter(each -> each.zone().equals(zone)).toList();
    }
}
