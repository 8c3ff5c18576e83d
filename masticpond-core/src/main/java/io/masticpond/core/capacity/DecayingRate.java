package io.masticpond.core.capacity;

/**
 * Rate of events per second whose older events lose weight exponentially. Unlike counts in steps it
 * changes smoothly, so a few events per second do not make it jump at the end of a step.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class DecayingRate {

    private final double mTimeConstantNanos;
    private double mCount;
    private long mNowNanos;

    /**
     * Creates a rate without events.
     *
     * @param timeConstantNanos the time in which the weight of an event falls to 1/e
     */
    DecayingRate(long timeConstantNanos) {
        mTimeConstantNanos = timeConstantNanos;
    }

    void add(long nowNanos) {
        add(1, nowNanos);
    }

    void add(double weight, long nowNanos) {
        decay(nowNanos);
        mCount += weight;
    }

    /** Returns the sum of the weighted events. */
    double count(long nowNanos) {
        decay(nowNanos);
        return mCount;
    }

    /** Returns the events per second. */
    double perSecond(long nowNanos) {
        return count(nowNanos) * 1e9 / mTimeConstantNanos;
    }

    private void decay(long nowNanos) {
        if (mCount == 0) {
            mNowNanos = nowNanos;
            return;
        }
        if (nowNanos - mNowNanos > 0) {
            mCount *= Math.exp(-(nowNanos - mNowNanos) / mTimeConstantNanos);
            mNowNanos = nowNanos;
        }
    }
}
