package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.List;
import java.util.Set;

/** Who is alive at a moment. */
record PeerSnapshot(List<PeerInstance> alive, Set<InstanceId> suspects, int shareholders)
        implements PeerView {

    /** Gives the living instances of an availability zone. */
    List<PeerInstance> inZone(ZoneId zone) {
        return alive.stream().filter(each -> each.zone().equals(zone)).toList();
    }
}
