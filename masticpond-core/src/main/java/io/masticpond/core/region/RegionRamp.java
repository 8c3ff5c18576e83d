package io.masticpond.core.region;

/**
 * Bound on the growth of this instance's traffic to a region, so that the region's caches can fill.
 *
 * <p>The limit applies to requests in flight. It is multiplied by the growth factor each second
 * while the traffic is close to the limit, and halves in each idle half-life otherwise.
 */
final class RegionRamp {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MAXIMUM_STEP_SECONDS = 0.25;
    private static final double GROWTH_THRESHOLD = 0.75;

    private final RegionSelectorParameters mParameters;
    private double mCeiling;
    private double mColdLimit;
    private double mLimit;
    private long mUpdatedNanos;
    private boolean mIsUnlimited;

    /**
     * Creates a ramp.
     *
     * @param parameters the parameters with the growth factor and the half-life
     * @param ceiling the limit at which a returning region is warm
     * @param isUnlimited whether there is no limit until the region is lost
     * @param nowNanos the current monotonic time
     */
    RegionRamp(
            RegionSelectorParameters parameters,
            double ceiling,
            boolean isUnlimited,
            long nowNanos) {
        mParameters = parameters;
        mCeiling = ceiling;
        mIsUnlimited = isUnlimited;
        mColdLimit = 1;
        mLimit = 1;
        mUpdatedNanos = nowNanos;
    }

    /** Sets the limit at which a cold region starts. */
    void setColdLimit(double coldLimit) {
        boolean isCold = mLimit <= mColdLimit;
        mColdLimit = Math.max(1, coldLimit);
        mLimit = isCold ? mColdLimit : Math.max(mLimit, mColdLimit);
    }

    /** Sets the limit at which a returning region is warm. */
    void setCeiling(double ceiling) {
        mCeiling = ceiling;
    }

    /** Resets the limit to that of a cold region. */
    void resetToCold(long nowNanos) {
        mIsUnlimited = false;
        mLimit = mColdLimit;
        mUpdatedNanos = nowNanos;
    }

    /** Returns the number of requests that may be in flight now. */
    double limit() {
        return mIsUnlimited ? Double.POSITIVE_INFINITY : mLimit;
    }

    /**
     * Updates the limit for the elapsed time and determines whether one more request may be sent.
     *
     * @param inFlight the requests of this instance in flight at the region
     * @param endsWhenWarm whether the limit is removed once the region is warm
     * @param nowNanos the current monotonic time
     * @return whether one more request may be sent
     */
    boolean admits(int inFlight, boolean endsWhenWarm, long nowNanos) {
        if (mIsUnlimited) {
            return true;
        }
        double seconds = Math.max(0, (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND);
        mUpdatedNanos = nowNanos;
        if (inFlight + 1 > mLimit * GROWTH_THRESHOLD) {
            double step = Math.min(seconds, MAXIMUM_STEP_SECONDS);
            mLimit = Math.min(mCeiling, mLimit * Math.pow(mParameters.growthPerSecond(), step));
        } else {
            double halfLife = mParameters.idleHalfLife().toNanos() / NANOS_PER_SECOND;
            mLimit = Math.max(mColdLimit, mLimit * Math.pow(0.5, seconds / halfLife));
        }
        mIsUnlimited = endsWhenWarm && mLimit >= mCeiling;
        return inFlight + 1 <= mLimit;
    }
}
