package io.masticpond.core.placement;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Refuses at arrival what the backend servers could not answer in time.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface LoadGate {

    /** Admits everything. */
    LoadGate OPEN = (request, chosen, now) -> Optional.empty();

    /**
     * Counts a request for a service, once.
     *
     * @param route its route
     * @param service the service picked
     * @param nowNanos the monotonic time
     */
    default void arrived(Route route, ServiceId service, long nowNanos) {}

    /**
     * Forgets what a configuration does not name any more.
     *
     * @param configuration the configuration in force
     */
    default void retain(RoutingConfiguration configuration) {}

    /**
     * Decides on a request that only servers with limits may take, by its urgency: the more urgent
     * ones are left what they need.
     *
     * @param request what is known of it
     * @param perSecond the requests a second that this instance may send to these servers
     * @param nowNanos the monotonic time
     * @return whether it may be sent if there is a permit
     */
    default boolean admits(PlacementRequest request, double perSecond, long nowNanos) {
        return true;
    }

    /**
     * Tells when a client should return whose request these servers do not take now.
     *
     * @param request what is known of it
     * @param perSecond the requests a second that this instance may send to these servers
     * @param nowNanos the monotonic time
     * @return the time until then
     */
    default long retryAfterNanos(PlacementRequest request, double perSecond, long nowNanos) {
        return TimeUnit.SECONDS.toNanos(1);
    }

    /**
     * Decides on a request.
     *
     * @param request what is known of it
     * @param chosen the server that it would be sent to
     * @param nowNanos the monotonic time
     * @return why and until when it is refused, empty if it is admitted
     */
    Optional<AdmissionDecision> refuse(PlacementRequest request, ServerLoad chosen, long nowNanos);
}
