package io.masticpond.core.admission;

import java.time.Duration;

/**
 * State of a backend server: in use, ejected, or on trial after an ejection.
 *
 * <p>An ejection ends in a trial, as in a half-open circuit breaker: the server gets one request at
 * a time. Consecutive good answers put it back in use, and a failure ejects it again for twice as
 * long.
 */
final class EjectionState {

    /** Reason why a server is not in use. */
    enum Reason {
        /** Its answers are errors, or their latency is far above that of its peers. */
        ANSWERS(true),
        /** It reports itself as unhealthy, and no recent answer contradicts the report. */
        REPORT(true),
        /** No connection could be established, so no request can run there. */
        UNREACHABLE(false);

        private final boolean mBounded;

        Reason(boolean bounded) {
            mBounded = bounded;
        }

        /**
         * Returns whether ejections for this reason are limited to a part of an availability zone.
         *
         * @return whether they are limited
         */
        boolean isBounded() {
            return mBounded;
        }
    }

    private enum Condition {
        IN_USE,
        EJECTED,
        /** On trial: the server gets one request at a time. */
        TRICKLE
    }

    private static final int MAX_DOUBLINGS = 16;

    private final OutlierSettings mSettings;
    private Condition mCondition = Condition.IN_USE;
    private Reason mReason = Reason.ANSWERS;
    private int mEjections;
    private long mUntilNanos;
    private long mReturnNanos;
    private long mLastTrialNanos;

    /**
     * Creates the state of a server that is in use.
     *
     * @param settings the conditions and durations of ejections
     */
    EjectionState(OutlierSettings settings) {
        mSettings = settings;
    }

    /**
     * Ejects the server, for longer if it was ejected recently.
     *
     * @param reason the reason of the ejection
     * @param nanos the current monotonic time, in nanoseconds
     */
    void eject(Reason reason, long nanos) {
        boolean longInUse = nanos - mReturnNanos > mSettings.maximumEjection().toNanos();
        if (mCondition == Condition.IN_USE && longInUse) {
            mEjections = 0;
        }
        Duration first =
                reason == Reason.UNREACHABLE
                        ? mSettings.unreachableBackoff()
                        : mSettings.ejection();
        long doubled = first.toNanos() << Math.min(mEjections, MAX_DOUBLINGS);
        mUntilNanos = nanos + Math.min(doubled, mSettings.maximumEjection().toNanos());
        mEjections++;
        mReason = reason;
        mCondition = Condition.EJECTED;
    }

    /**
     * Ends the ejection if its time has passed.
     *
     * @param nanos the current monotonic time, in nanoseconds
     * @return whether the trial begins
     */
    boolean advance(long nanos) {
        if (mCondition != Condition.EJECTED || mUntilNanos - nanos > 0) {
            return false;
        }
        mCondition = Condition.TRICKLE;
        mLastTrialNanos = nanos - mSettings.trialInterval().toNanos();
        return true;
    }

    /**
     * Handles a report of the server that it is healthy. It ends only an ejection that the server's
     * own report or a failed connection caused.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void reportedHealthy(long nanos) {
        if (mCondition == Condition.EJECTED && mReason != Reason.ANSWERS) {
            mUntilNanos = nanos;
        }
    }

    /**
     * Evaluates the consecutive good answers since the trial began.
     *
     * @param consecutiveAnswers the number of consecutive good answers
     * @param nanos the current monotonic time, in nanoseconds
     * @return whether the server is back in use
     */
    boolean answered(int consecutiveAnswers, long nanos) {
        int needed = mReason == Reason.UNREACHABLE ? 1 : mSettings.trialAnswers();
        if (mCondition != Condition.TRICKLE || consecutiveAnswers < needed) {
            return false;
        }
        mCondition = Condition.IN_USE;
        mReturnNanos = nanos;
        return true;
    }

    /** Puts the server back in use without a history of ejections, since it restarted. */
    void reset() {
        mCondition = Condition.IN_USE;
        mEjections = 0;
    }

    /**
     * Limits the usable slots according to the state.
     *
     * @param slots the slots that are usable while the server is in use
     * @return 0 while ejected, at most 1 on trial, otherwise all slots
     */
    int limit(int slots) {
        if (mCondition == Condition.EJECTED) {
            return 0;
        }
        return mCondition == Condition.TRICKLE ? Math.min(1, slots) : slots;
    }

    /**
     * Records that a trial request is sent.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void trialSent(long nanos) {
        mLastTrialNanos = nanos;
    }

    boolean isInUse() {
        return mCondition == Condition.IN_USE;
    }

    boolean isOnTrial() {
        return mCondition == Condition.TRICKLE;
    }

    boolean isTrialDue(long nanos) {
        return isOnTrial() && nanos - mLastTrialNanos >= mSettings.trialInterval().toNanos();
    }

    boolean isEjectedWithinBound() {
        return !isInUse() && mReason.isBounded();
    }

    Reason reason() {
        return mReason;
    }

    /**
     * Returns the time at which the ejection ends.
     *
     * @return nanoseconds of the monotonic clock, or {@link Long#MAX_VALUE} if not ejected
     */
    long untilNanos() {
        return mCondition == Condition.EJECTED ? mUntilNanos : Long.MAX_VALUE;
    }
}
