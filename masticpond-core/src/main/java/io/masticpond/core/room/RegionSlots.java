package io.masticpond.core.room;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.placement.AvoidReason;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.placement.ServerTable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Counter of the usable servers and slots of a service by region. */
final class RegionSlots {

    private RegionSlots() {}

    /**
     * Adds the usable servers of a service to the demand by region. Servers that are evacuated,
     * leaving or avoided do not count. A server that rejected a request for lack of capacity does:
     * its slots are in use, and each instance avoids it at other times for 60 ms only.
     */
    static Map<RegionId, RegionLoad> loads(
            ServerTable table, ServiceId service, Map<RegionId, Double> perSecond, long nowNanos) {
        Map<RegionId, RegionLoad> loads = new HashMap<>();
        perSecond.forEach((region, demand) -> loads.put(region, new RegionLoad(demand, 0, 0)));
        for (ServerLoad load : table.of(service)) {
            RegisteredServer server = load.server();
            Optional<RegionId> region = table.region(server);
            boolean isAvoided =
                    load.avoidReason(nowNanos)
                            .filter(reason -> reason != AvoidReason.TURNED_AWAY)
                            .isPresent();
            if (region.isEmpty()
                    || server.leaving()
                    || isAvoided
                    || table.isEvacuated(server.zone())) {
                continue;
            }
            loads.merge(region.get(), new RegionLoad(0, 1, server.slots()), RegionLoad::plus);
        }
        return loads;
    }
}
