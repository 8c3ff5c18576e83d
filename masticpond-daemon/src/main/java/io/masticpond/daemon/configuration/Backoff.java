package io.masticpond.daemon.configuration;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Exponential backoff with an upper bound and jitter, for use by a single thread.
 *
 * <p>Each delay is drawn from between half of the current length and the whole of it, so that
 * instances that failed at the same time do not retry at the same time.
 */
final class Backoff {

    private static final long INITIAL_DELAY_NANOS = Duration.ofMillis(200).toNanos();
    private static final long MAXIMUM_DELAY_NANOS = Duration.ofSeconds(5).toNanos();

    private final DoubleSupplier mRandom;
    private long mDelayNanos = INITIAL_DELAY_NANOS;
    private long mNotBeforeNanos;
    private boolean mPausing;

    /**
     * Creates a backoff that is not pausing.
     *
     * @param random the source of random numbers from 0 to 1
     */
    Backoff(DoubleSupplier random) {
        mRandom = random;
    }

    /** Determines whether the delay after the last failure has not passed yet. */
    boolean isPausing(long nowNanos) {
        return mPausing && nowNanos - mNotBeforeNanos < 0;
    }

    /** Starts the delay that follows a failure, and doubles the length of the next one. */
    void recordFailure(long nowNanos) {
        mNotBeforeNanos = nowNanos + (long) (mDelayNanos * (1 + mRandom.getAsDouble()) / 2);
        mPausing = true;
        mDelayNanos = Math.min(MAXIMUM_DELAY_NANOS, mDelayNanos * 2);
    }

    /** Ends the delay and restores its initial length. */
    void recordSuccess() {
        mPausing = false;
        mDelayNanos = INITIAL_DELAY_NANOS;
    }
}
