package io.masticpond.core.region;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * The adjustable numbers of the choice of regions.
 *
 * @param freshFor how long reported headroom counts as exact
 * @param staleFor the age from which reported headroom is not used at all
 * @param fastEnoughShare the share of the time to the deadline within which a cheaper region is
 *     fast enough, above 0 and at most 1
 * @param priceReserveShare the share of a region's slots that must be free before price draws
 *     traffic to it, from 0 to 1
 * @param coldShare the share of this instance's fair share of slots that a cold region starts with
 * @param growthPerSecond the factor by which traffic to a region may grow in a second, above 1
 * @param idleHalfLife the time in which the traffic that an idle region may take halves
 * @param holdDown how long a region that came back is avoided if others can take the work
 * @param maximumHoldDown the longest such time, after repeated losses
 * @param refusalBackoff how long a region is skipped after it refused on old headroom, at first
 * @param maximumRefusalBackoff the longest such time
 * @param defaultOneWay the one-way delay of a link that operators did not state
 * @since 0.1
 */
public record RegionSelectorParameters(
        Duration freshFor,
        Duration staleFor,
        double fastEnoughShare,
        double priceReserveShare,
        double coldShare,
        double growthPerSecond,
        Duration idleHalfLife,
        Duration holdDown,
        Duration maximumHoldDown,
        Duration refusalBackoff,
        Duration maximumRefusalBackoff,
        Duration defaultOneWay) {

    /** The values that are used unless operators say otherwise. */
    public static final RegionSelectorParameters DEFAULT =
            new RegionSelectorParameters(
                    Duration.ofMillis(1500),
                    Duration.ofSeconds(5),
                    0.5,
                    0.2,
                    0.25,
                    2.0,
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(20),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(20));

    /** Checks the ranges. */
    public RegionSelectorParameters {
        Assert.isTrue(
                staleFor.compareTo(freshFor) >= 0,
                "Headroom must not be unusable before it is stale, but %s is less than %s.",
                staleFor,
                freshFor);
        Assert.isTrue(
                fastEnoughShare > 0 && fastEnoughShare <= 1,
                "A share of the deadline must be above 0 and at most 1, but was %s.",
                fastEnoughShare);
        Assert.isTrue(
                priceReserveShare >= 0 && priceReserveShare <= 1,
                "A share of slots must be from 0 to 1, but was %s.",
                priceReserveShare);
        Assert.isTrue(coldShare > 0, "A cold share must be positive, but was %s.", coldShare);
        Assert.isTrue(
                growthPerSecond > 1,
                "A growth factor must be above 1, but was %s.",
                growthPerSecond);
        Assert.positive(idleHalfLife.toNanos(), "An idle half-life in nanoseconds");
    }
}
