package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.support.Assert;

/**
 * Specification of a link between two regions, with the same properties in both directions.
 *
 * @param from one region
 * @param to the other region
 * @param oneWayMicros the one-way delay in microseconds
 * @param requestsPerSecond the maximum number of requests per second over the link; 0 for no limit
 * @since 0.1
 */
public record LinkSpecification(
        RegionId from, RegionId to, long oneWayMicros, long requestsPerSecond) {

    /** Validates the components. */
    public LinkSpecification {
        Assert.notNull(from, "A region id");
        Assert.notNull(to, "A region id");
        Assert.notNegative(oneWayMicros, "A one-way delay");
        Assert.notNegative(requestsPerSecond, "A link limit");
    }

    /**
     * Determines whether the link connects two regions, in either order.
     *
     * @param first one region
     * @param second the other region
     * @return {@code true} if the link connects them
     */
    public boolean connects(RegionId first, RegionId second) {
        return (from.equals(first) && to.equals(second))
                || (from.equals(second) && to.equals(first));
    }
}
