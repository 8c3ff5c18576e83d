package io.masticpond.core.admission;

/**
 * Estimator of the time for which slots are held, by exponentially weighted means over completed
 * attempts.
 *
 * <p>The typical time is the geometric mean, which is the median if the times have a lognormal
 * distribution.
 */
final class WaitEstimator {

    /** Number of recent attempts over which the means are weighted. */
    private static final int WINDOW = 64;

    /**
     * Divisor for the fast time: one in twelve lognormal times of sigma 1 is shorter than the
     * typical time divided by this.
     */
    private static final int FAST_DIVISOR = 4;

    private final int mWindow;
    private long mSamples;
    private double mMeanNanos;
    private double mMeanLogarithm;

    /** Creates an estimator without samples, of which all estimates are 0. */
    WaitEstimator() {
        this(WINDOW);
    }

    /**
     * Creates an estimator without samples.
     *
     * @param window the number of recent attempts over which the means are weighted
     */
    WaitEstimator(int window) {
        mWindow = window;
    }

    /**
     * Records the time for which a slot was held.
     *
     * @param nanos the time in nanoseconds
     */
    void sample(long nanos) {
        mSamples++;
        double weight = 1.0 / Math.min(mSamples, mWindow);
        mMeanNanos += weight * (nanos - mMeanNanos);
        mMeanLogarithm += weight * (Math.log((double) Math.max(1, nanos)) - mMeanLogarithm);
    }

    /**
     * Returns the number of recorded samples.
     *
     * @return the number of samples
     */
    long samples() {
        return mSamples;
    }

    /**
     * Returns the typical time for which a slot is held.
     *
     * @return nanoseconds; 0 without samples
     */
    long typicalNanos() {
        return mSamples == 0 ? 0 : (long) Math.exp(mMeanLogarithm);
    }

    /**
     * Returns a time below which a slot is rarely held.
     *
     * @return nanoseconds; 0 without samples
     */
    long fastNanos() {
        return typicalNanos() / FAST_DIVISOR;
    }

    /**
     * Estimates the time until a request gets a slot.
     *
     * @param ahead the number of waiting requests ahead
     * @param freeSlots the slots that are free now
     * @param busySlots the slots held by requests that are expected to end
     * @return nanoseconds; 0 without samples or if a slot is free
     */
    long waitNanos(int ahead, int freeSlots, int busySlots) {
        int needed = ahead + 1 - freeSlots;
        if (needed <= 0) {
            return 0;
        }
        return (long) (needed * mMeanNanos / Math.max(1, busySlots + freeSlots));
    }
}
