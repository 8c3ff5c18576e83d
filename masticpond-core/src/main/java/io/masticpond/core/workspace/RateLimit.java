package io.masticpond.core.workspace;

import io.masticpond.core.support.Assert;

/**
 * Limit of the request rate of a workspace, over all instances together.
 *
 * @param perSecond the requests per second, positive
 * @param burst the number of additional requests that may arrive at once, not negative
 * @since 0.2
 */
public record RateLimit(double perSecond, double burst) {

    /** Validates the ranges of the components. */
    public RateLimit {
        Assert.isTrue(
                perSecond > 0 && Double.isFinite(perSecond),
                "A rate must be positive, but was %s.",
                perSecond);
        Assert.isTrue(
                burst >= 0 && Double.isFinite(burst),
                "A burst must not be negative, but was %s.",
                burst);
    }
}
