package io.masticpond.core.spending;

import java.time.Duration;

/**
 * Estimate of the rate of spending that callers request, as an exponentially weighted moving
 * average.
 */
final class SpendingRate {

    private static final double TIME_CONSTANT_SECONDS = 30;
    private static final long MINIMUM_STEP_NANOS = Duration.ofMillis(100).toNanos();
    private static final double NANOS_PER_SECOND = 1e9;

    private double mPerSecond;
    private long mSinceNanos;
    private long mRequestedMicros;

    SpendingRate(double initialPerSecond, long nowNanos) {
        mPerSecond = initialPerSecond;
        mSinceNanos = nowNanos;
    }

    void add(long micros) {
        mRequestedMicros += micros;
    }

    void advance(long nowNanos) {
        long elapsed = nowNanos - mSinceNanos;
        if (elapsed < MINIMUM_STEP_NANOS) {
            return;
        }
        double seconds = elapsed / NANOS_PER_SECOND;
        double weight = 1 - Math.exp(-seconds / TIME_CONSTANT_SECONDS);
        mPerSecond += weight * (mRequestedMicros / seconds - mPerSecond);
        mRequestedMicros = 0;
        mSinceNanos = nowNanos;
    }

    double perSecond() {
        return mPerSecond;
    }
}
