package io.masticpond.core.routing;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.workspace.WorkspaceTable;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable version of the routes, services, request limits and workspaces.
 *
 * @param version the version; a higher version replaces a lower one, never the reverse
 * @param routes the routes
 * @param services the rules of each service by its id
 * @param limits the limits of client requests
 * @param workspaces the workspaces whose requests are accepted; if the table is absent, requests
 *     need no key, and if it is present and has no workspaces, no key is valid
 * @param unreadable the parts that could not be read
 * @since 0.2
 */
public record RoutingConfiguration(
        long version,
        List<Route> routes,
        Map<ServiceId, ServiceRules> services,
        RequestLimits limits,
        Optional<WorkspaceTable> workspaces,
        UnreadableParts unreadable) {

    /** Validates the components and copies the collections. */
    public RoutingConfiguration {
        Assert.notNegative(version, "A version");
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        Assert.notNull(limits, "Request limits");
        Assert.notNull(workspaces, "An optional table of workspaces");
        Assert.notNull(unreadable, "The unreadable parts");
    }

    /**
     * Creates a configuration without a table of workspaces.
     *
     * @param version the version
     * @param routes the routes
     * @param services the rules of each service by its id
     * @param limits the limits of client requests
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            Map<ServiceId, ServiceRules> services,
            RequestLimits limits) {
        this(version, routes, services, limits, Optional.empty());
    }

    /**
     * Creates a configuration of which all parts could be read.
     *
     * @param version the version
     * @param routes the routes
     * @param services the rules of each service by its id
     * @param limits the limits of client requests
     * @param workspaces the workspaces whose requests are accepted
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            Map<ServiceId, ServiceRules> services,
            RequestLimits limits,
            Optional<WorkspaceTable> workspaces) {
        this(version, routes, services, limits, workspaces, UnreadableParts.NONE);
    }
}
