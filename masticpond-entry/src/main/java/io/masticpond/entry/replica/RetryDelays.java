package io.masticpond.entry.replica;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff with jitter: a delay is between half a bound and the bound, which doubles
 * with each failure.
 */
final class RetryDelays {

    private static final int MAXIMUM_DOUBLINGS = 16;

    private final long mFirstNanos;
    private final long mLastNanos;
    private final UniformRandomProvider mRandom;

    /**
     * Creates the delays.
     *
     * @param first the upper bound of the first delay, positive
     * @param last the maximum upper bound
     * @param random the source of the jitter
     */
    RetryDelays(Duration first, Duration last, UniformRandomProvider random) {
        mFirstNanos = Assert.positive(first.toNanos(), "The first delay");
        mLastNanos = last.toNanos();
        mRandom = Assert.notNull(random, "A source of random numbers");
    }

    /**
     * Draws the delay before the next attempt.
     *
     * @param failures the number of consecutive failed attempts, at least 1
     * @return the delay
     */
    Duration after(int failures) {
        int doublings = Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        long bound = Math.min(mLastNanos, mFirstNanos << doublings);
        return Duration.ofNanos(bound / 2 + mRandom.nextLong(bound / 2 + 1));
    }
}
