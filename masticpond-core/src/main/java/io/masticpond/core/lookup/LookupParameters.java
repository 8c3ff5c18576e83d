package io.masticpond.core.lookup;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Adjustable parameters of look-ups.
 *
 * @param maximumInstances the maximum number of instances in an answer, at least 2
 * @param nearestZoneInstances the number of them in the nearest availability zone, unless other
 *     zones have too few instances
 * @param cacheFor the time for which an answer may be cached
 * @since 0.1
 */
public record LookupParameters(int maximumInstances, int nearestZoneInstances, Duration cacheFor) {

    /** Default values, used unless operators override them. */
    public static final LookupParameters DEFAULT =
            new LookupParameters(4, 2, Duration.ofSeconds(5));

    /** Validates the ranges of the components. */
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
