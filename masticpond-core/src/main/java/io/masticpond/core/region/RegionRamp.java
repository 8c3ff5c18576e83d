package io.masticpond.core.region;

/**
 * Bounds how fast the traffic of this instance to a region grows, so that its caches can fill.
 *
 * <p>The limit is on requests in flight. It is multiplied by the growth factor each second while
 * the traffic presses against it, and halves in each idle half-life otherwise.
 */
final class RegionRamp {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LONGEST_STEP_SECONDS = 0.25;
    private static final double PRESSING_SHARE = 0.75;

    private final RegionSelectorParameters mKnobs;
    private double mCeiling;
    private double mColdLimit;
    private double mLimit;
    private long mUpdatedNanos;
    private boolean mOpen;

    /**
     * Starts a ramp.
     *
     * @param knobs the growth factor and half-life
     * @param ceiling the limit at which a region that returns is warm
     * @param open whether there is no limit until the region is lost
     * @param nowNanos the elapsed time
     */
    RegionRamp(RegionSelectorParameters knobs, double ceiling, boolean open, long nowNanos) {
        mKnobs = knobs;
        mCeiling = ceiling;
        mOpen = open;
        mColdLimit = 1;
        mLimit = 1;
        mUpdatedNanos = nowNanos;
    }

    /** Sets where a cold region starts. */
    void setColdLimit(double coldLimit) {
        boolean cold = mLimit <= mColdLimit;
        mColdLimit = Math.max(1, coldLimit);
        mLimit = cold ? mColdLimit : Math.max(mLimit, mColdLimit);
    }

    /** Sets the limit at which a region that returns is warm. */
    void setCeiling(double ceiling) {
        mCeiling = ceiling;
    }

    /** Starts from the cold limit again. */
    void cool(long nowNanos) {
        mOpen = false;
        mLimit = mColdLimit;
        mUpdatedNanos = nowNanos;
    }

    /** Tells how many requests may be in flight now. */
    double limit() {
        return mOpen ? Double.POSITIVE_INFINITY : mLimit;
    }

    /**
     * Lets time act and tells whether one request more may go.
     *
     * @param inFlight the requests of this instance in flight at the region
     * @param stayOpen whether the limit ends for good once the region is warm
     * @param nowNanos the elapsed time
     * @return whether one more may go
     */
    boolean admits(int inFlight, boolean stayOpen, long nowNanos) {
        if (mOpen) {
            return true;
        }
        double seconds = Math.max(0, (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND);
        mUpdatedNanos = nowNanos;
        if (inFlight + 1 > mLimit * PRESSING_SHARE) {
            double step = Math.min(seconds, LONGEST_STEP_SECONDS);
            mLimit = Math.min(mCeiling, mLimit * Math.pow(mKnobs.growthPerSecond(), step));
        } else {
            double halfLife = mKnobs.idleHalfLife().toNanos() / NANOS_PER_SECOND;
            mLimit = Math.max(mColdLimit, mLimit * Math.pow(0.5, seconds / halfLife));
        }
        mOpen = stayOpen && mLimit >= mCeiling;
        return inFlight + 1 <= mLimit;
    }
}
