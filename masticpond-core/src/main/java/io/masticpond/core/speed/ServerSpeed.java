package io.masticpond.core.speed;

/**
 * Slowdown that one run of a backend server reported last: 1 is the normal duration of work, 2.5 is
 * 2.5 times as long.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class ServerSpeed {

    /** Minimum slowdown, so that a false report attracts a bounded preference. */
    private static final double MINIMUM_SLOWDOWN = 0.5;

    private static final double PERCENT = 100;

    private double mSlowdown;
    private long mReportedNanos;
    private boolean mIsReported;

    /**
     * Records a reported duration of work, unless a later one is known.
     *
     * @param timePercent the duration of work in percent of the normal duration, positive
     * @param reportedNanos the monotonic time at which the server reported it
     */
    public void record(int timePercent, long reportedNanos) {
        if (!mIsReported || reportedNanos - mReportedNanos >= 0) {
            mSlowdown = slowdown(timePercent);
            mReportedNanos = reportedNanos;
            mIsReported = true;
        }
    }

    /**
     * Converts a reported duration of work.
     *
     * @param timePercent the duration in percent of the normal duration, positive
     * @return the slowdown, at least 0.5
     */
    public static double slowdown(int timePercent) {
        return Math.max(MINIMUM_SLOWDOWN, timePercent / PERCENT);
    }

    /**
     * Determines whether a slowdown was reported.
     *
     * @return whether at least one report is known
     */
    public boolean isReported() {
        return mIsReported;
    }

    /**
     * Returns the slowdown that was reported last.
     *
     * @return the slowdown, 0 before the first report
     */
    public double reportedSlowdown() {
        return mSlowdown;
    }

    /**
     * Returns the age of the last report.
     *
     * @param nowNanos the current monotonic time
     * @return the age in nanoseconds, at least 0; 0 before the first report
     */
    public long ageNanos(long nowNanos) {
        return mIsReported ? Math.max(0, nowNanos - mReportedNanos) : 0;
    }
}
