package io.masticpond.entry.request;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Factory of snapshots with one route and its backend servers, three if not stated otherwise. */
final class FakeSnapshot {

    static final ServiceId SERVICE = new ServiceId("reader");
    static final ZoneId ZONE = new ZoneId("a");
    private static final int SERVERS = 3;

    private FakeSnapshot() {}

    /** Returns a snapshot with the same routes after all servers have been removed. */
    static FleetSnapshot withoutServers() {
        FleetSnapshot all = of(true, 2, false, Set.of());
        return new FleetSnapshot(2, all.routing(), Map.of(), Set.of());
    }

    static FleetSnapshot of(
            boolean idempotent, int attempts, boolean leaving, Set<ZoneId> evacuated) {
        return of(idempotent, attempts, leaving, evacuated, SERVERS);
    }

    static FleetSnapshot of(
            boolean idempotent,
            int attempts,
            boolean leaving,
            Set<ZoneId> evacuated,
            int serverCount) {
        Route route =
                new Route(
                        new RouteId("route"),
                        "host",
                        "/a/",
                        idempotent,
                        Duration.ofSeconds(1),
                        Duration.ofMillis(100),
                        0,
                        attempts,
                        true,
                        Set.of(),
                        List.of(new WeightedService(SERVICE, 1)));
        ServiceRules rules = new ServiceRules(SERVICE, "/health", 10, Duration.ofSeconds(1), 5);
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>();
        for (int i = 0; i < serverCount; i++) {
            BackendServerId id = new BackendServerId("server-" + i);
            ServerAddress address = new ServerAddress("127.0.0.1", 1_000 + i);
            servers.put(id, new RegisteredServer(id, SERVICE, address, ZONE, 2, leaving, 0));
        }
        return new FleetSnapshot(
                1,
                Optional.of(
                        new RoutingConfiguration(
                                1, List.of(route), Map.of(SERVICE, rules), RequestLimits.DEFAULT)),
                servers,
                evacuated);
    }
}
