package io.masticpond.entry.request;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RouteTable;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceRules;
import java.time.Duration;
import java.util.Optional;

/**
 * Snapshot on which requests are decided, with the routes prepared for lookup.
 *
 * @param snapshot the snapshot
 * @param routes the routes, or empty before the first version is known
 * @since 0.2
 */
public record EntryState(FleetSnapshot snapshot, Optional<RouteTable> routes) {

    /** State in which nothing is known yet. */
    public static final EntryState EMPTY = new EntryState(FleetSnapshot.EMPTY, Optional.empty());

    /**
     * Creates the state of a snapshot. The table of routes is reused if its version is unchanged.
     *
     * @param snapshot the new snapshot
     * @param previous the previous state
     * @return the state
     */
    public static EntryState of(FleetSnapshot snapshot, EntryState previous) {
        Optional<RoutingConfiguration> routing = snapshot.routing();
        if (routing.isEmpty()) {
            return new EntryState(snapshot, Optional.empty());
        }
        boolean isSameVersion =
                previous.snapshot.routing().isPresent()
                        && previous.snapshot.routing().get().version() == routing.get().version();
        return new EntryState(
                snapshot,
                isSameVersion ? previous.routes : Optional.of(new RouteTable(routing.get())));
    }

    /**
     * Returns the route of a request.
     *
     * @param host the value of the {@code Host} header
     * @param target the path and query
     * @return the route, or empty if none matches or none is known
     */
    public Optional<Route> match(String host, String target) {
        return routes.flatMap(table -> table.match(host, target));
    }

    /**
     * Determines whether a request without a route may have one that could not be read.
     *
     * @param host the value of the {@code Host} header
     * @param target the path and query
     * @return {@code false} if there is certainly no route for the request
     */
    public boolean mayHaveUnreadableRoute(String host, String target) {
        return routes.filter(table -> table.mayHaveUnreadableRoute(host, target)).isPresent();
    }

    /**
     * Returns the rules of a service.
     *
     * @param service the service
     * @return the rules, or empty if the configuration has none
     */
    public Optional<ServiceRules> rules(ServiceId service) {
        return snapshot.routing().map(routing -> routing.services().get(service));
    }

    /**
     * Returns for how long a server of a service is cold after its start.
     *
     * @param service the service
     * @return the time, zero if the configuration has no rules of the service
     */
    public Duration warmUp(ServiceId service) {
        return rules(service).map(ServiceRules::warmUp).orElse(Duration.ZERO);
    }
}
