package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Limits of the claims and settings of their batching.
 *
 * @param buckets how many objects hold the claims; must be the same at all instances and never
 *     change
 * @param maximumClaims the maximum number of unexpired claims in a bucket
 * @param maximumWaiting the maximum number of requests waiting for their claim
 * @param interval the minimum time between two calls for a bucket
 * @param clockError the maximum difference between the clocks of two instances; a claim is retained
 *     this much longer than its key is valid
 * @since 0.1
 */
public record ClaimLimits(
        int buckets,
        int maximumClaims,
        int maximumWaiting,
        Duration interval,
        Duration clockError) {

    /**
     * 16 buckets of 4,000 claims, a call every 50 ms for each bucket, and clocks within two
     * minutes.
     */
    public static final ClaimLimits DEFAULT =
            new ClaimLimits(16, 4_000, 10_000, Duration.ofMillis(50), Duration.ofMinutes(2));

    /** Validates the limits. */
    public ClaimLimits {
        Assert.positive(buckets, "A number of buckets");
        Assert.positive(maximumClaims, "A number of claims");
        Assert.positive(maximumWaiting, "A number of requests that wait");
        Assert.isTrue(!interval.isNegative(), "An interval must not be negative.");
        Assert.isTrue(!clockError.isNegative(), "A clock error must not be negative.");
    }
}
