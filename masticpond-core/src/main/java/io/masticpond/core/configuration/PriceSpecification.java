package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.support.Assert;

/**
 * Price of a request of a service in a region.
 *
 * @param region the region
 * @param requestMicros the price in millionths of the operators' currency unit
 * @since 0.1
 */
public record PriceSpecification(RegionId region, long requestMicros) {

    /** Validates the components. */
    public PriceSpecification {
        Assert.notNull(region, "A region id");
        Assert.notNegative(requestMicros, "A price");
    }
}
