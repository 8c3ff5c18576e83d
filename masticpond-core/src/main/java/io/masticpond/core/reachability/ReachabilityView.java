package io.masticpond.core.reachability;

import io.masticpond.core.id.ServiceId;

/**
 * View that an instance has of its connection to the servers of a service.
 *
 * @param service the service
 * @param state the state
 * @param evidence the observation that led to the state
 * @param sinceNanos the monotonic time at which the state began
 * @since 0.3
 */
public record ReachabilityView(
        ServiceId service,
        ReachabilityState state,
        ReachabilityEvidence evidence,
        long sinceNanos) {}
