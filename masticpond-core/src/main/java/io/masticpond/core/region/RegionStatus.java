package io.masticpond.core.region;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;

/**
 * Status of a region for a service as this instance sees it, for metrics.
 *
 * @param service the service
 * @param region the region
 * @param step the step of degradation in force
 * @param reachable whether the region can be reached
 * @param inFlight the requests that this instance has in flight there
 * @param limit the number of slots that its requests may hold there; infinite if there is no limit
 * @since 0.1
 */
public record RegionStatus(
        ServiceId service,
        RegionId region,
        DegradationStep step,
        boolean reachable,
        int inFlight,
        double limit) {}
