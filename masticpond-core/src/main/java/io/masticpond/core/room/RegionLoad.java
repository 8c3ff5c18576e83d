package io.masticpond.core.room;

import io.masticpond.core.support.Assert;

/**
 * Demand and capacity of a service in one region.
 *
 * @param perSecond the requests per second that the instances of the region receive
 * @param servers the number of usable servers in the region
 * @param slots the slots of these servers
 * @since 0.3
 */
public record RegionLoad(double perSecond, int servers, int slots) {

    /** Validates the components. */
    public RegionLoad {
        Assert.isTrue(perSecond >= 0, "A demand must not be negative, but was %s.", perSecond);
        Assert.notNegative(servers, "A number of servers");
        Assert.notNegative(slots, "A number of slots");
    }

    /**
     * Adds another load of the same region.
     *
     * @param other the other load
     * @return the sum
     */
    public RegionLoad plus(RegionLoad other) {
        return new RegionLoad(
                perSecond + other.perSecond, servers + other.servers, slots + other.slots);
    }
}
