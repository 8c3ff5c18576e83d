package io.masticpond.core.admission;

/**
 * Estimates how long slots are held, from the attempts that ended, by exponentially weighted means.
 *
 * <p>The typical time is the mean of the logarithms taken back, which is the median if the times
 * have a lognormal distribution.
 */
final class WaitEstimator {

    /** How many recent attempts count. */
    private static final int WINDOW = 64;

    /** One in twelve lognormal times of sigma 1 is shorter than this part of the typical one. */
    private static final int FAST_DIVISOR = 4;

    private final int mWindow;
    private long mSamples;
    private double mMeanNanos;
    private double mMeanLogarithm;

    /** Starts without a snapshot; all estimates are 0. */
    WaitEstimator() {
        this(WINDOW);
    }

    /**
     * Starts without a snapshot.
     *
     * @param window how many recent attempts count
     */
    WaitEstimator(int window) {
        mWindow = window;
    }

    /**
     * Takes how long a slot was held.
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
     * Counts what was taken.
     *
     * @return the number of samples
     */
    long samples() {
        return mSamples;
    }

    /**
     * Gives the typical time that a slot is held.
     *
     * @return nanoseconds; 0 without samples
     */
    long typicalNanos() {
        return mSamples == 0 ? 0 : (long) Math.exp(mMeanLogarithm);
    }

    /**
     * Gives a time that a slot is seldom held less than.
     *
     * @return nanoseconds; 0 without samples
     */
    long fastNanos() {
        return typicalNanos() / FAST_DIVISOR;
    }

    /**
     * Estimates the time until a request gets a slot.
     *
     * @param ahead how many waiting requests go first
     * @param freeSlots the slots that are free now
     * @param busySlots the slots that are held by work that will end
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
