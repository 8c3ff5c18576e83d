package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff with jitter: a random delay below a bound that doubles with each attempt
 * ("full jitter").
 *
 * <p>The delay is at least half of the base, so that a retry is never immediate. Not thread-safe.
 *
 * @since 0.1
 */
public final class Backoff {

    private static final int MAXIMUM_DOUBLINGS = 20;

    private final long mBaseNanos;
    private final long mMaximumNanos;
    private final UniformRandomProvider mRandom;

    /**
     * Creates a backoff.
     *
     * @param base the upper bound of the first delay, positive
     * @param maximum the maximum upper bound, at least the base
     * @param random the random source of the jitter
     */
    public Backoff(Duration base, Duration maximum, UniformRandomProvider random) {
        mBaseNanos = Assert.positive(base.toNanos(), "The base of a backoff");
        mMaximumNanos = maximum.toNanos();
        Assert.isTrue(mMaximumNanos >= mBaseNanos, "The maximum delay must be at least the base.");
        mRandom = Assert.notNull(random, "A source of random numbers");
    }

    /**
     * Returns a random delay before the next attempt.
     *
     * @param failures the number of failed attempts, at least 1
     * @return the delay, from half of the base to the current bound
     */
    public Duration delay(int failures) {
        Assert.positive(failures, "The number of failures");
        int doublings = Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        long bound = Math.min(mMaximumNanos, mBaseNanos << doublings);
        if (bound <= 0) {
            bound = mMaximumNanos;
        }
        long minimum = mBaseNanos / 2;
        return Duration.ofNanos(minimum + mRandom.nextLong(bound - minimum + 1));
    }
}
