package io.masticpond.core.placement;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;

/**
 * Strategy interface for the factors by which the servers of a region are preferred as homes of
 * keys. All instances of a region should return nearly the same factors, since keys at the boundary
 * between two factors have different homes at instances that disagree.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface RegionWeights {

    /** No preference beyond the distance. */
    RegionWeights EQUAL = (service, server, nowNanos) -> 1;

    /**
     * Returns the factor for the region of a server, in addition to that of its distance.
     *
     * @param service the service
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return a factor above 0, at most 1
     */
    double factor(ServiceId service, RegisteredServer server, long nowNanos);
}
