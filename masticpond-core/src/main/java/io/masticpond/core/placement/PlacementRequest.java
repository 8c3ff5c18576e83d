package io.masticpond.core.placement;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * Properties of a request on which the choice of a server is based.
 *
 * @param route the route
 * @param service the chosen service
 * @param keyHash the hash of the key, or a random number for a request without one
 * @param workspace the workspace of the caller, or empty if the route requires none
 * @param leftNanos the remaining time in nanoseconds by the limits of the client and the route
 * @since 0.2
 */
public record PlacementRequest(
        Route route,
        ServiceId service,
        long keyHash,
        Optional<WorkspaceId> workspace,
        long leftNanos) {

    /** Checks that no component is {@code null}. */
    public PlacementRequest {
        Assert.notNull(route, "A route");
        Assert.notNull(service, "A service");
        Assert.notNull(workspace, "A workspace");
    }
}
