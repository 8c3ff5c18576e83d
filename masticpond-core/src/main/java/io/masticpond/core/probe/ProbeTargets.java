package io.masticpond.core.probe;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.ServerLoad;
import java.util.List;
import java.util.Optional;

/**
 * Strategy interface that describes the backend servers among which a {@link ProbePlanner} selects.
 *
 * @since 0.3
 */
public interface ProbeTargets {

    /**
     * Returns the servers of a service.
     *
     * @param service the service
     * @return all servers, whether usable or not
     */
    List<ServerLoad> servers(ServiceId service);

    /**
     * Determines whether the route of a request allows the region of a server.
     *
     * @param request the request
     * @param server the server
     * @return whether the request may be sent to that region
     */
    boolean allows(PlacementRequest request, ServerLoad server);

    /**
     * Returns why a server must not be probed.
     *
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the first reason, one without requests before others; empty if it may be probed
     */
    Optional<ProbeObstacle> obstacle(ServerLoad server, long nowNanos);

    /**
     * Returns the age from which on a load value of a service's servers is out of date.
     *
     * @param service the service
     * @return nanoseconds, above 0
     */
    long persistenceNanos(ServiceId service);
}
