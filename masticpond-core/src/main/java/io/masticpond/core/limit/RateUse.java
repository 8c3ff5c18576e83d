package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;

/**
 * What some instances do with the rate of a workspace.
 *
 * @param used the requests that they sent in the last second
 * @param demand the requests that came to them in the last second
 * @since 0.2
 */
public record RateUse(double used, double demand) {

    /** Nothing comes and nothing is sent. */
    public static final RateUse NONE = new RateUse(0, 0);

    /** Checks that both are numbers from 0. */
    public RateUse {
        Assert.isTrue(used >= 0 && demand >= 0, "The use of a rate must not be negative.");
    }

    /**
     * Adds that of others.
     *
     * @param other theirs
     * @return the sum
     */
    public RateUse plus(RateUse other) {
        return new RateUse(used + other.used, demand + other.demand);
    }

    /** Takes a part away from this sum. */
    RateUse minus(RateUse part) {
        return new RateUse(Math.max(0, used - part.used), Math.max(0, demand - part.demand));
    }

    boolean isNone() {
        return used <= 0 && demand <= 0;
    }
}
