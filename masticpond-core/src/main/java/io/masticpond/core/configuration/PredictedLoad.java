package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;

/**
 * Predicted load of a service in a region.
 *
 * @param service the service
 * @param region the region
 * @param slots the slots of its backend servers that are not leaving
 * @param slotsInUse the number of slots predicted to be in use
 * @param observed whether the prediction is based on an observation; otherwise, it is based on an
 *     assumption
 * @since 0.1
 */
public record PredictedLoad(
        ServiceId service, RegionId region, long slots, double slotsInUse, boolean observed) {

    /** Validates the components. */
    public PredictedLoad {
        Assert.notNull(service, "A service id");
        Assert.notNull(region, "A region id");
        Assert.notNegative(slots, "A number of slots");
    }
}
