package io.masticpond.core.fleet;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Immutable snapshot of the routes and backend servers that an instance knows.
 *
 * @param revision the revision of the platform's store from which it was built; a higher revision
 *     is newer
 * @param routing the routes in force, or empty before the first version is known
 * @param servers the registered servers by id, including those that are leaving
 * @param evacuatedZones the zones whose servers must receive no requests
 * @since 0.2
 */
public record FleetSnapshot(
        long revision,
        Optional<RoutingConfiguration> routing,
        Map<BackendServerId, RegisteredServer> servers,
        Set<ZoneId> evacuatedZones) {

    /** The snapshot of an instance that has received no data yet. */
    public static final FleetSnapshot EMPTY =
            new FleetSnapshot(0, Optional.empty(), Map.of(), Set.of());

    /** Validates the components and copies the collections. */
    public FleetSnapshot {
        Assert.notNegative(revision, "A revision");
        Assert.notNull(routing, "A routing configuration");
        servers = Map.copyOf(servers);
        evacuatedZones = Set.copyOf(evacuatedZones);
    }
}
