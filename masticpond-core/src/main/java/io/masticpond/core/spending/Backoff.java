package io.masticpond.core.spending;

import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/** Exponential backoff with full jitter between repeated calls after failures. */
final class Backoff {

    private static final int MAXIMUM_DOUBLINGS = 10;

    private final UniformRandomProvider mRandom;
    private long mInitialNanos;
    private long mMaximumNanos;
    private int mFailures;

    Backoff(UniformRandomProvider random, Duration initial, Duration maximum) {
        mRandom = random;
        setDelayRange(initial, maximum);
    }

    void setDelayRange(Duration initial, Duration maximum) {
        mInitialNanos = initial.toNanos();
        mMaximumNanos = maximum.toNanos();
    }

    long nextNanos() {
        int doublings = Math.min(mFailures, MAXIMUM_DOUBLINGS);
        mFailures++;
        return mRandom.nextLong(Math.min(mMaximumNanos, mInitialNanos << doublings)) + 1;
    }

    void reset() {
        mFailures = 0;
    }
}
