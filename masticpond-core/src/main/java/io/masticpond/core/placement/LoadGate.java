package io.masticpond.core.placement;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Strategy interface for refusing requests on arrival that the backend servers could not answer in
 * time.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface LoadGate {

    /** Gate that admits all requests. */
    LoadGate OPEN = (request, chosen, now) -> Optional.empty();

    /**
     * Records a request for a service; called once for each request.
     *
     * @param route its route
     * @param service the chosen service
     * @param nowNanos the current monotonic time
     */
    default void arrived(Route route, ServiceId service, long nowNanos) {}

    /**
     * Records a request for a service; called once for each request.
     *
     * @param route its route
     * @param service the chosen service
     * @param workspace the workspace of its caller, or empty if the route requires none
     * @param nowNanos the current monotonic time
     */
    default void arrived(
            Route route, ServiceId service, Optional<WorkspaceId> workspace, long nowNanos) {
        arrived(route, service, nowNanos);
    }

    /**
     * Provides the servers of a service before a request for it is decided.
     *
     * @param request the request
     * @param servers all servers of the service
     * @param usable those that may take the request
     * @param candidates determines which of these accept requests at a bounded rate
     * @param nowNanos the current monotonic time
     */
    default void observeServers(
            PlacementRequest request,
            List<ServerLoad> servers,
            List<ServerLoad> usable,
            Candidates candidates,
            long nowNanos) {}

    /**
     * Records the load that a server reported with an answer to this instance.
     *
     * @param load the server
     * @param reported the reported load
     * @param nowNanos the current monotonic time
     */
    default void reported(ServerLoad load, ReportedLoad reported, long nowNanos) {}

    /**
     * Records the time of a successful answer.
     *
     * @param route the route of the request
     * @param service the service of the server
     * @param nanos the time in nanoseconds from the sending to the answer
     * @param hasWaited whether requests waited for a slot there
     * @param nowNanos the current monotonic time
     */
    default void answered(
            Route route, ServiceId service, long nanos, boolean hasWaited, long nowNanos) {}

    /**
     * Removes the state of routes and services that are no longer configured.
     *
     * @param configuration the configuration in force
     */
    default void retain(RoutingConfiguration configuration) {}

    /**
     * Decides by priority whether to admit a request that only limited servers may take: capacity
     * is reserved for the more urgent requests.
     *
     * @param request the request
     * @param perSecond the requests per second that this instance may send to these servers
     * @param nowNanos the current monotonic time
     * @return whether the request may be sent if a permit is available
     */
    default boolean admits(PlacementRequest request, double perSecond, long nowNanos) {
        return true;
    }

    /**
     * Returns the time after which a client should retry a request that the limited servers cannot
     * take now.
     *
     * @param request the request
     * @param perSecond the requests per second that this instance may send to these servers
     * @param nowNanos the current monotonic time
     * @return the time in nanoseconds
     */
    default long retryAfterNanos(PlacementRequest request, double perSecond, long nowNanos) {
        return TimeUnit.SECONDS.toNanos(1);
    }

    /**
     * Decides whether to refuse a request.
     *
     * @param request the request
     * @param chosen the server to which it would be sent
     * @param nowNanos the current monotonic time
     * @return the decision with the time after which to retry, or empty if the request is admitted
     */
    Optional<AdmissionDecision> refuse(PlacementRequest request, ServerLoad chosen, long nowNanos);
}
