package io.masticpond.core.room;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;

/**
 * Listener that is notified when the factor of a region takes a step.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface RegionWeightListener {

    /** Listener that does nothing. */
    RegionWeightListener NONE = (service, region, steps, utilization) -> {};

    /**
     * Called when the factor of a region takes a step.
     *
     * @param service the service
     * @param region the region
     * @param steps the steps of a quarter of an octave by which the weight is now lowered
     * @param utilization the utilization of the region that is predicted with these steps; 0 if the
     *     region has no slots
     */
    void onStep(ServiceId service, RegionId region, int steps, double utilization);
}
