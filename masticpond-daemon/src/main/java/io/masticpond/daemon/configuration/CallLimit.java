package io.masticpond.daemon.configuration;

import java.time.Duration;

/**
 * Limit of one call at a time, for use by a single thread. A call whose completion was dropped
 * stops counting after the maximum duration.
 */
final class CallLimit {

    private final long mMaximumNanos;
    private boolean mRunning;
    private long mStartNanos;

    CallLimit(Duration maximumDuration) {
        mMaximumNanos = maximumDuration.toNanos();
    }

    /** Determines whether a call is running that has not exceeded the maximum duration. */
    boolean isRunning(long nowNanos) {
        return mRunning && nowNanos - mStartNanos < mMaximumNanos;
    }

    void recordStart(long nowNanos) {
        mRunning = true;
        mStartNanos = nowNanos;
    }

    void recordEnd() {
        mRunning = false;
    }
}
