package io.masticpond.core.limit;

/** Counts the calls of one backend server, with older ones counting less and less. */
final class CallStatistics {

    /** Makes a single failure count less when there are few calls. */
    private static final double PRIOR_CALLS = 1;

    private final double mHalfLifeNanos;
    private double mCalls;
    private double mFailures;
    private double mSuccessNanos;
    private double mPenalty;
    private long mNowNanos;
    private long mLastSentNanos;

    /**
     * Starts with nothing counted.
     *
     * @param halfLifeNanos after which time a call counts half
     * @param nowNanos the monotonic time
     */
    CallStatistics(long halfLifeNanos, long nowNanos) {
        mHalfLifeNanos = halfLifeNanos;
        mNowNanos = nowNanos;
        mLastSentNanos = nowNanos;
    }

    void sent(long nowNanos) {
        mLastSentNanos = nowNanos;
    }

    void succeeded(long latencyNanos, long nowNanos) {
        decay(nowNanos);
        mCalls++;
        mSuccessNanos += latencyNanos;
    }

    void failed(long nowNanos) {
        decay(nowNanos);
        mCalls++;
        mFailures++;
    }

    void decay(long nowNanos) {
        long passed = nowNanos - mNowNanos;
        if (passed <= 0) {
            return;
        }
        double factor = Math.pow(0.5, passed / mHalfLifeNanos);
        mCalls *= factor;
        mFailures *= factor;
        mSuccessNanos *= factor;
        mNowNanos = nowNanos;
    }

    double calls() {
        return mCalls;
    }

    double successes() {
        return mCalls - mFailures;
    }

    double failureShare() {
        return mFailures / (mCalls + PRIOR_CALLS);
    }

    /** Gives the mean latency of the calls that succeeded, if there are any. */
    double meanNanos() {
        return mSuccessNanos / successes();
    }

    long lastSentNanos() {
        return mLastSentNanos;
    }

    double penalty() {
        return mPenalty;
    }

    void setPenalty(double penalty) {
        mPenalty = penalty;
    }
}
