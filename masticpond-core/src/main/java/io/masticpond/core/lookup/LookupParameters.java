package io.masticpond.core.lookup;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * The adjustable numbers of look-ups.
 *
 * @param maximumInstances how many instances an answer names at most, at least 2
 * @param nearestZoneInstances how many of them are in the nearest availability zone, unless others
 *     lack instances
 * @param cacheFor how long an answer may be cached
 * @since 0.1
 */
public record LookupParameters(int maximumInstances, int nearestZoneInstances, Duration cacheFor) {

    /** The values that are used unless operators say otherwise. */
    public static final LookupParameters DEFAULT =
            new LookupParameters(4, 2, Duration.ofSeconds(5));

    /** Checks the ranges. */
    public LookupParameters {
        Assert.isTrue(
                maximumInstances >= 2,
                "An answer must name at least 2 instances, but %d were allowed.",
                maximumInstances);
        Assert.isTrue(
                nearestZoneInstances >= 1 && nearestZoneInstances < maximumInstances,
                "The instances of the nearest zone must be from 1 to %d, but were %d.",
                maximumInstances - 1,
                nearestZoneInstances);
        Assert.notNegative(cacheFor.toMillis(), "A cache time in milliseconds");
    }
}
