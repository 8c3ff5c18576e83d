package io.masticpond.core.admission;

/** Statistics of the answers of one backend server, which take precedence over its own reports. */
final class ServerRecord {

    /** Number of recent attempts over which the failure share is weighted. */
    private static final double FAILURE_WINDOW = 16;

    /** Number of recent answers over which the latency is weighted. */
    private static final int LATENCY_WINDOW = 32;

    private WaitEstimator mLatency = new WaitEstimator(LATENCY_WINDOW);
    private int mConsecutiveFailures;
    private int mConsecutiveAnswers;
    private long mAttempts;
    private double mFailureShare;
    private boolean mEverAnswered;
    private long mLastAnswerNanos;

    /**
     * Records a good answer.
     *
     * @param heldNanos how long its slot was held, in nanoseconds
     * @param nanos the current monotonic time, in nanoseconds
     */
    void answered(long heldNanos, long nanos) {
        mLatency.sample(heldNanos);
        mConsecutiveFailures = 0;
        mConsecutiveAnswers++;
        mEverAnswered = true;
        mLastAnswerNanos = nanos;
        attempt(0);
    }

    /** Records a failure. */
    void failed() {
        mConsecutiveFailures++;
        mConsecutiveAnswers = 0;
        attempt(1);
    }

    /** Resets everything but the time of the last answer, when the server gets a new chance. */
    void reset() {
        mLatency = new WaitEstimator(LATENCY_WINDOW);
        mConsecutiveFailures = 0;
        mConsecutiveAnswers = 0;
        mAttempts = 0;
        mFailureShare = 0;
    }

    int consecutiveFailures() {
        return mConsecutiveFailures;
    }

    int consecutiveAnswers() {
        return mConsecutiveAnswers;
    }

    long attempts() {
        return mAttempts;
    }

    double failureShare() {
        return mFailureShare;
    }

    WaitEstimator latency() {
        return mLatency;
    }

    /**
     * Returns whether a good answer was received recently.
     *
     * @param nanos the current monotonic time, in nanoseconds
     * @param withinNanos the maximum age of such an answer, in nanoseconds
     * @return whether there was one
     */
    boolean answeredWithin(long nanos, long withinNanos) {
        return mEverAnswered && nanos - mLastAnswerNanos <= withinNanos;
    }

    private void attempt(double failure) {
        mAttempts++;
        mFailureShare += (failure - mFailureShare) / (double) Math.min(mAttempts, FAILURE_WINDOW);
    }
}
