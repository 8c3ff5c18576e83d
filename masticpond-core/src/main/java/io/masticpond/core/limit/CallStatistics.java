package io.masticpond.core.limit;

/** Statistics of the calls to one backend server, with exponential decay. */
final class CallStatistics {

    /**
     * Number of assumed prior calls without a failure, which reduces the weight of a single failure
     * among few calls.
     */
    private static final double PRIOR_CALLS = 1;

    private final double mHalfLifeNanos;
    private double mCalls;
    private double mFailures;
    private double mSuccessNanos;
    private double mPenalty;
    private long mNowNanos;
    private long mLastSentNanos;

    /**
     * Creates statistics without calls.
     *
     * @param halfLifeNanos the time after which a call counts half, in nanoseconds
     * @param nowNanos the current monotonic time, in nanoseconds
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

    /**
     * Returns the mean latency of the successful calls in nanoseconds. Valid only if there are any.
     */
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
