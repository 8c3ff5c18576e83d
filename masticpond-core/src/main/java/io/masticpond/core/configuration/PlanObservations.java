package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Strategy interface for observations of the running system for plans. Every value may be missing
 * or outdated.
 *
 * @since 0.1
 */
public interface PlanObservations {

    /** The implementation without any observations. */
    PlanObservations NONE =
            new PlanObservations() {
                @Override
                public OptionalDouble slotsInUse(ServiceId service, RegionId region) {
                    return OptionalDouble.empty();
                }

                @Override
                public OptionalDouble requestsPerSecond(ServiceId service, RegionId region) {
                    return OptionalDouble.empty();
                }

                @Override
                public OptionalLong allottedMicros(ServiceId service, String shift) {
                    return OptionalLong.empty();
                }
            };

    /**
     * Returns the number of slots of a service that are in use in a region.
     *
     * @param service the service
     * @param region the region
     * @return the number of slots, or empty if it is not known
     */
    OptionalDouble slotsInUse(ServiceId service, RegionId region);

    /**
     * Returns the request rate of a service in a region.
     *
     * @param service the service
     * @param region the region
     * @return the requests per second, or empty if the rate is not known
     */
    OptionalDouble requestsPerSecond(ServiceId service, RegionId region);

    /**
     * Returns the amount of the current shift's cap that instances hold or have spent.
     *
     * @param service the service
     * @param shift the name of the shift
     * @return the amount in millionths of the operators' currency unit, or empty if it is not known
     */
    OptionalLong allottedMicros(ServiceId service, String shift);
}
