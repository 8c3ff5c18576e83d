package io.masticpond.core.id;

import io.masticpond.core.support.Assert;

/**
 * Identifier of the part of a service's backend servers in a region to which one admitter admits
 * requests.
 *
 * @param service the service
 * @param region the region
 * @param number the number of the shard, from 0
 * @since 0.1
 */
public record Shard(ServiceId service, RegionId region, int number) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a part is missing or the number is negative
     */
    public Shard {
        Assert.notNull(service, "A service id");
        Assert.notNull(region, "A region id");
        Assert.notNegative(number, "A shard number");
    }

    @Override
    public String toString() {
        return service + "/" + region + "/" + number;
    }
}
