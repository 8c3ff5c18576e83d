package io.masticpond.core.fleet;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * All that an instance believes about routes and backend servers at one moment. Immutable.
 *
 * @param revision the revision of the platform's store that it rests on; higher is newer
 * @param routing the routes in force, or empty before the first version is known
 * @param servers the registered servers by id, leaving ones included
 * @param evacuatedZones zones whose servers must get nothing
 * @since 0.2
 */
public record FleetSnapshot(
        long revision,
        Optional<RoutingConfiguration> routing,
        Map<BackendServerId, RegisteredServer> servers,
        Set<ZoneId> evacuatedZones) {

    /** The snapshot of an instance that knows nothing yet. */
    public static final FleetSnapshot EMPTY =
            new FleetSnapshot(0, Optional.empty(), Map.of(), Set.of());

    /** Checks the parts and copies the collections. */
    public FleetSnapshot {
        Assert.notNegative(revision, "A revision");
        Assert.notNull(routing, "A routing configuration");
        servers = Map.copyOf(servers);
        evacuatedZones = Set.copyOf(evacuatedZones);
    }
}
