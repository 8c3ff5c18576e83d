package io.masticpond.core.region;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Adjustable parameters of the choice of regions.
 *
 * @param freshFor the time for which reported headroom counts as exact
 * @param staleFor the age beyond which reported headroom is not used
 * @param fastEnoughShare the share of the time to the deadline within which a cheaper region must
 *     answer, above 0 and at most 1
 * @param priceReserveShare the share of a region's slots that must be free before traffic is drawn
 *     to it by price, from 0 to 1
 * @param coldShare the share of this instance's fair share of slots at which a cold region starts
 * @param growthPerSecond the factor by which traffic to a region may grow per second, above 1
 * @param idleHalfLife the time in which the traffic limit of an idle region halves
 * @param holdDown the time for which a returning region is avoided if others can take the requests
 * @param maximumHoldDown the maximum hold-down, after repeated losses
 * @param refusalBackoff the initial time for which a region with stale headroom is skipped after a
 *     refusal
 * @param maximumRefusalBackoff the maximum refusal backoff
 * @param defaultOneWay the one-way delay of a link that is not configured
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

    /** Default values, used unless operators override them. */
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

    /** Validates the ranges of the components. */
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
