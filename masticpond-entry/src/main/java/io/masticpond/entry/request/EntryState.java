package io.masticpond.entry.request;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RouteTable;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceRules;
import java.util.Optional;

/**
 * The snapshot that requests are decided on, with the routes ready for look-up.
 *
 * @param snapshot the snapshot
 * @param routes the routes, or empty before the first version is known
 * @since 0.2
 */
public record EntryState(FleetSnapshot snapshot, Optional<RouteTable> routes) {

    /** Nothing is known yet. */
    public static final EntryState EMPTY = new EntryState(FleetSnapshot.EMPTY, Optional.empty());

    /**
     * Makes the state of a snapshot; the routes are kept if their version is the same.
     *
     * @param snapshot the new snapshot
     * @param before the state before
     * @return the state
     */
    public static EntryState of(FleetSnapshot snapshot, EntryState before) {
        Optional<RoutingConfiguration> routing = snapshot.routing();
        if (routing.isEmpty()) {
            return new EntryState(snapshot, Optional.empty());
        }
        boolean same =
                before.snapshot.routing().isPresent()
                        && before.snapshot.routing().get().version() == routing.get().version();
        return new EntryState(
                snapshot, same ? before.routes : Optional.of(new RouteTable(routing.get())));
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host header
     * @param target path and query
     * @return the route, or empty if none matches or none is known
     */
    public Optional<Route> match(String host, String target) {
        return routes.flatMap(table -> table.match(host, target));
    }

    /**
     * Finds the rules of a service.
     *
     * @param service the service
     * @return the rules, or empty if the configuration has none
     */
    public Optional<ServiceRules> rules(ServiceId service) {
        return snapshot.routing().map(routing -> routing.services().get(service));
    }
}
