package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;

/**
 * Usage of the rate of a workspace by one or more instances.
 *
 * @param used the requests that they sent in the last second
 * @param demand the requests that they received in the last second
 * @since 0.2
 */
public record RateUsage(double used, double demand) {

    /** Usage without any requests. */
    public static final RateUsage NONE = new RateUsage(0, 0);

    /** Validates that both are at least 0. */
    public RateUsage {
        Assert.isTrue(used >= 0 && demand >= 0, "The usage of a rate must not be negative.");
    }

    /**
     * Returns the sum of this usage and that of other instances.
     *
     * @param other the usage of the other instances
     * @return the sum
     */
    public RateUsage plus(RateUsage other) {
        return new RateUsage(used + other.used, demand + other.demand);
    }

    /** Returns this usage without a part of it. */
    RateUsage minus(RateUsage part) {
        return new RateUsage(Math.max(0, used - part.used), Math.max(0, demand - part.demand));
    }

    boolean isNone() {
        return used <= 0 && demand <= 0;
    }
}
