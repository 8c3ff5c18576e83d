package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;

/**
 * What some instances do with the rate of a workspace.
 *
 * @param used the requests that they sent in the last second
 * @param demand the requests that came to them in the last second
 * @since 0.2
 */
public record RateUsage(double used, double demand) {

    /** Nothing comes and nothing is sent. */
    public static final RateUsage NONE = new RateUsage(0, 0);

    /** Checks that both are numbers from 0. */
    public RateUsage {
        Assert.isTrue(used >= 0 && demand >= 0, "The use of a rate must not be negative.");
    }

    /**
     * Adds that of others.
     *
     * @param other theirs
     * @return the sum
     */
    public RateUsage plus(RateUsage other) {
        return new RateUsage(used + other.used, demand + other.demand);
    }

    /** Takes a part away from this sum. */
    RateUsage minus(RateUsage part) {
        return new RateUsage(Math.max(0, used - part.used), Math.max(0, demand - part.demand));
    }

    boolean isNone() {
        return used <= 0 && demand <= 0;
    }
}
