package io.masticpond.core.admission;

import java.time.Duration;

/**
 * Says whether a backend server is in use, ejected, or back with a trickle of requests.
 *
 * <p>An ejection ends in a trickle: one request at a time. Good answers in a row put the server
 * back in use, a failure ejects it again for twice as long.
 */
final class EjectionState {

    /** Why a server is not in use. */
    enum Reason {
        /** Its answers: errors, or latency far above its peers'. */
        ANSWERS(true),
        /** It says itself that it is not well, and no answer says otherwise. */
        REPORT(true),
        /** No connection could be made, so that no request can run there at all. */
        UNREACHABLE(false);

        private final boolean mBounded;

        Reason(boolean bounded) {
            mBounded = bounded;
        }

        /**
         * Tells whether ejections for this reason are bounded to a part of a zone.
         *
         * @return whether they are
         */
        boolean isBounded() {
            return mBounded;
        }
    }

    private enum Condition {
        IN_USE,
        EJECTED,
        TRICKLE
    }

    private static final int GREATEST_DOUBLING = 16;

    private final OutlierSettings mSettings;
    private Condition mCondition = Condition.IN_USE;
    private Reason mReason = Reason.ANSWERS;
    private int mEjections;
    private long mUntilNanos;
    private long mReturnNanos;
    private long mLastTrickleNanos;

    /**
     * Starts in use.
     *
     * @param settings when and how long to eject
     */
    EjectionState(OutlierSettings settings) {
        mSettings = settings;
    }

    /**
     * Ejects the server; longer if it was ejected a short time ago.
     *
     * @param reason why
     * @param nanos the time now
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
        long doubled = first.toNanos() << Math.min(mEjections, GREATEST_DOUBLING);
        mUntilNanos = nanos + Math.min(doubled, mSettings.maximumEjection().toNanos());
        mEjections++;
        mReason = reason;
        mCondition = Condition.EJECTED;
    }

    /**
     * Lets time end an ejection.
     *
     * @param nanos the time now
     * @return whether the trickle begins
     */
    boolean advance(long nanos) {
        if (mCondition != Condition.EJECTED || mUntilNanos - nanos > 0) {
            return false;
        }
        mCondition = Condition.TRICKLE;
        mLastTrickleNanos = nanos - mSettings.trialInterval().toNanos();
        return true;
    }

    /**
     * Takes that the server says it is well, which ends only an ejection that its own word or a
     * failed connection brought about.
     *
     * @param nanos the time now
     */
    void reportedHealthy(long nanos) {
        if (mCondition == Condition.EJECTED && mReason != Reason.ANSWERS) {
            mUntilNanos = nanos;
        }
    }

    /**
     * Takes the good answers in a row since the trickle began.
     *
     * @param consecutiveAnswers the good answers
     * @param nanos the time now
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

    /** Puts the server in use with a clean record, since it started anew. */
    void reset() {
        mCondition = Condition.IN_USE;
        mEjections = 0;
    }

    /**
     * Counts what the standing leaves of the usable slots.
     *
     * @param slots the usable slots otherwise
     * @return none while ejected, at most one in a trickle
     */
    int limit(int slots) {
        if (mCondition == Condition.EJECTED) {
            return 0;
        }
        return mCondition == Condition.TRICKLE ? Math.min(1, slots) : slots;
    }

    /**
     * Notes that a request of the trickle leaves.
     *
     * @param nanos the time now
     */
    void trialSent(long nanos) {
        mLastTrickleNanos = nanos;
    }

    boolean isInUse() {
        return mCondition == Condition.IN_USE;
    }

    boolean isOnTrial() {
        return mCondition == Condition.TRICKLE;
    }

    boolean isTrialDue(long nanos) {
        return isOnTrial() && nanos - mLastTrickleNanos >= mSettings.trialInterval().toNanos();
    }

    boolean isEjectedWithinBound() {
        return !isInUse() && mReason.isBounded();
    }

    Reason reason() {
        return mReason;
    }

    /**
     * Tells when the ejection ends.
     *
     * @return nanoseconds of the monotonic clock, or {@link Long#MAX_VALUE} if not ejected
     */
    long untilNanos() {
        return mCondition == Condition.EJECTED ? mUntilNanos : Long.MAX_VALUE;
    }
}
