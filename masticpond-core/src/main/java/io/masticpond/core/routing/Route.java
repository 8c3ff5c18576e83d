package io.masticpond.core.routing;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.workspace.Workspace;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Rule that assigns requests to services and determines how they may be handled.
 *
 * @param id the name of the route
 * @param host the host of its requests, in lower case and without a port
 * @param pathPrefix the prefix of the path of its requests; begins and ends with a slash
 * @param idempotent whether a request may be executed more than once
 * @param timeout the maximum time that a client waits for a response, positive
 * @param targetLatency the latency up to which a response has its full value, positive
 * @param priority the priority among routes, where 0 is the most urgent
 * @param maximumAttempts the maximum number of backend servers on which a request may be attempted,
 *     at least 1
 * @param affinity whether requests for an object run faster on a server that recently processed a
 *     request for it
 * @param homeRegions the only regions that may serve the route; empty to allow all regions
 * @param services the services that share its requests, at least one
 * @param keyless whether its requests require no workspace key
 * @since 0.2
 */
public record Route(
        RouteId id,
        String host,
        String pathPrefix,
        boolean idempotent,
        Duration timeout,
        Duration targetLatency,
        int priority,
        int maximumAttempts,
        boolean affinity,
        Set<RegionId> homeRegions,
        List<WeightedService> services,
        boolean keyless) {

    /** Validates the components and copies the collections. */
    public Route {
        Assert.notNull(id, "A route id");
        Assert.hasText(host, "A host");
        Assert.isTrue(
                pathPrefix != null && pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "A path prefix must begin and end with a slash, but was '%s'.",
                pathPrefix);
        Assert.positive(timeout.toNanos(), "A timeout");
        Assert.positive(targetLatency.toNanos(), "A target latency");
        Assert.notNegative(priority, "A priority");
        Assert.positive(maximumAttempts, "A maximum of attempts");
        homeRegions = Set.copyOf(homeRegions);
        services = List.copyOf(services);
        Assert.notEmpty(services, "The services of a route");
    }

    /**
     * Creates a route whose requests require a key if any workspaces are configured.
     *
     * @param id the name of the route
     * @param host the host of its requests
     * @param pathPrefix the prefix of the path of its requests
     * @param idempotent whether a request may be executed more than once
     * @param timeout the maximum time that a client waits for a response
     * @param targetLatency the latency up to which a response has its full value
     * @param priority the priority among routes
     * @param maximumAttempts the maximum number of backend servers on which a request may be
     *     attempted
     * @param affinity whether requests for an object run faster on a server that recently processed
     *     a request for it
     * @param homeRegions the only regions that may serve the route
     * @param services the services that share its requests
     */
    public Route(
            RouteId id,
            String host,
            String pathPrefix,
            boolean idempotent,
            Duration timeout,
            Duration targetLatency,
            int priority,
            int maximumAttempts,
            boolean affinity,
            Set<RegionId> homeRegions,
            List<WeightedService> services) {
        this(
                id,
                host,
                pathPrefix,
                idempotent,
                timeout,
                targetLatency,
                priority,
                maximumAttempts,
                affinity,
                homeRegions,
                services,
                false);
    }

    /**
     * Restricts the route to what a workspace permits: the priority of the workspace takes
     * precedence, and if both specify regions, only the regions common to both remain.
     *
     * @param workspace the workspace
     * @return the route for its requests, or empty if no region may serve them
     */
    public Optional<Route> restrictTo(Workspace workspace) {
        Set<RegionId> regions = homeRegions;
        if (!workspace.homeRegions().isEmpty()) {
            regions = new HashSet<>(workspace.homeRegions());
            if (!homeRegions.isEmpty()) {
                regions.retainAll(homeRegions);
            }
            if (regions.isEmpty()) {
                return Optional.empty();
            }
        }
        return Optional.of(
                new Route(
                        id,
                        host,
                        pathPrefix,
                        idempotent,
                        timeout,
                        targetLatency,
                        workspace.priority().orElse(priority),
                        maximumAttempts,
                        affinity,
                        regions,
                        services,
                        keyless));
    }

    /**
     * Determines whether a region may serve the route.
     *
     * @param region the region
     * @return {@code true} if the region may serve the route
     */
    public boolean allows(RegionId region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }
}
