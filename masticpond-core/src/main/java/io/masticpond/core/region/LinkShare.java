package io.masticpond.core.region;

/**
 * Rate limiter for this instance's share of the requests per second that may cross a link between
 * regions.
 *
 * <p>A token bucket with a capacity of the tokens of a tenth of a second, at least one.
 */
final class LinkShare {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BURST_SECONDS = 0.1;

    private final long mLinkPerSecond;
    private double mPerSecond;
    private double mTokens;
    private long mUpdatedNanos;

    /**
     * Creates a full bucket for a link that is used by a single instance.
     *
     * @param linkPerSecond the limit of the link in requests per second; 0 for none
     * @param nowNanos the current monotonic time
     */
    LinkShare(long linkPerSecond, long nowNanos) {
        mLinkPerSecond = linkPerSecond;
        mUpdatedNanos = nowNanos;
        setInstances(1);
        mTokens = burst();
    }

    /** Determines whether the limit is the same, so that the bucket can be kept. */
    boolean hasLimit(long linkPerSecond) {
        return mLinkPerSecond == linkPerSecond;
    }

    /** Sets the number of instances that share the link evenly. */
    void setInstances(int instances) {
        mPerSecond = (double) mLinkPerSecond / Math.max(1, instances);
        mTokens = Math.min(mTokens, burst());
    }

    /** Determines whether a request may cross the link now. */
    boolean hasToken(long nowNanos) {
        if (mLinkPerSecond == 0) {
            return true;
        }
        double seconds = Math.max(0, (nowNanos - mUpdatedNanos) / NANOS_PER_SECOND);
        mUpdatedNanos = nowNanos;
        mTokens = Math.min(burst(), mTokens + seconds * mPerSecond);
        return mTokens >= 1;
    }

    /** Consumes the token of a request that crosses the link. */
    void takeToken() {
        if (mLinkPerSecond > 0) {
            mTokens--;
        }
    }

    /** Returns the time until the next token is available, in nanoseconds. */
    long nanosToToken() {
        if (mLinkPerSecond == 0 || mTokens >= 1) {
            return 0;
        }
        return (long) Math.ceil((1 - mTokens) / mPerSecond * NANOS_PER_SECOND);
    }

    private double burst() {
        return Math.max(1, mPerSecond * BURST_SECONDS);
    }
}
