package io.masticpond.core.placement;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.support.Assert;

/**
 * What the choice of a server goes by.
 *
 * @param route the route
 * @param service the service picked
 * @param keyHash the hash of the key, or a random number for a request without one
 * @param leftNanos the time that the client and the route leave
 * @since 0.2
 */
public record PlacementRequest(Route route, ServiceId service, long keyHash, long leftNanos) {

    /** Checks that the parts are given. */
    public PlacementRequest {
        Assert.notNull(route, "A route");
        Assert.notNull(service, "A service");
    }
}
