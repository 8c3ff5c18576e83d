package io.masticpond.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.placement.AvoidReason;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.placement.ServerTable;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests which servers count as capacity of a region. */
class RegionSlotsTest {

    private static final ServiceId SERVICE = new ServiceId("docs");
    private static final ZoneId ZONE = new ZoneId("zone");
    private static final ZoneId EVACUATED = new ZoneId("evacuated");
    private static final RegionId REGION = new RegionId("region");

    private final ServerTable mTable =
            new ServerTable(ZONE, Map.of(ZONE, REGION, EVACUATED, REGION));
    private final Map<BackendServerId, RegisteredServer> mServers = new HashMap<>();

    private void register(String name, ZoneId zone, boolean isLeaving) {
        BackendServerId id = new BackendServerId(name);
        ServerAddress address = new ServerAddress("127.0.0.1", 1_000 + mServers.size());
        mServers.put(id, new RegisteredServer(id, SERVICE, address, zone, 6, isLeaving, 0));
    }

    private ServerLoad load(String name) {
        return mTable.of(SERVICE).stream()
                .filter(load -> load.server().id().value().equals(name))
                .findAny()
                .orElseThrow();
    }

    /** Guards against load that is shifted to servers which take no requests. */
    @Example
    void countsOnlyUsableServers() {
        register("usable", ZONE, false);
        register("full", ZONE, false);
        register("unreachable", ZONE, false);
        register("leaving", ZONE, true);
        register("evacuated", EVACUATED, false);
        register("unknown-zone", new ZoneId("unknown"), false);
        mTable.update(new FleetSnapshot(1, Optional.empty(), mServers, Set.of(EVACUATED)), 0);
        load("full").avoidUntil(100, AvoidReason.TURNED_AWAY);
        load("unreachable").avoidUntil(100, AvoidReason.UNREACHABLE);
        assertThat(RegionSlots.loads(mTable, SERVICE, Map.of(REGION, 9.0), 1))
                .isEqualTo(Map.of(REGION, new RegionLoad(9, 2, 12)));
        assertThat(RegionSlots.loads(mTable, SERVICE, Map.of(), 101))
                .isEqualTo(Map.of(REGION, new RegionLoad(0, 3, 18)));
    }
}
