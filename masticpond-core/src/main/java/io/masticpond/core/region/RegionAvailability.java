package io.masticpond.core.region;

import java.time.Duration;

/** Availability of a region, with a hold-down after losses and a backoff after refusals. */
final class RegionAvailability {

    /** Number of maximum hold-downs after which an earlier loss is disregarded. */
    private static final int LOSS_MEMORY_FACTOR = 2;

    private final RegionSelectorParameters mParameters;
    private boolean mIsReachable = true;
    private boolean mIsHeldDown;
    private long mHoldDownEndNanos;
    private long mLostNanos;
    private long mHoldDownNanos;
    private boolean mIsAttemptLost;
    private boolean mIsBackingOff;
    private long mBackoffEndNanos;
    private long mBackoffNanos;

    RegionAvailability(RegionSelectorParameters parameters) {
        mParameters = parameters;
    }

    boolean isReachable() {
        return mIsReachable;
    }

    /** Records the loss of the region; returns whether it was reachable before. */
    boolean recordLoss(long nowNanos) {
        if (!mIsReachable) {
            return false;
        }
        long lossMemoryNanos = LOSS_MEMORY_FACTOR * mParameters.maximumHoldDown().toNanos();
        boolean isRepeated = mHoldDownNanos > 0 && nowNanos - mLostNanos < lossMemoryNanos;
        mHoldDownNanos =
                nextDelayNanos(
                        isRepeated ? mHoldDownNanos : 0,
                        mParameters.holdDown(),
                        mParameters.maximumHoldDown());
        mLostNanos = nowNanos;
        mIsReachable = false;
        return true;
    }

    /** Records the return of the region; returns whether it was unreachable before. */
    boolean recordReturn(long nowNanos) {
        if (mIsReachable) {
            return false;
        }
        mIsReachable = true;
        mIsHeldDown = true;
        mHoldDownEndNanos = nowNanos + mHoldDownNanos;
        return true;
    }

    /** Determines whether other regions are preferred, after a loss of the region or an attempt. */
    boolean isHeldDown(long nowNanos) {
        mIsHeldDown = mIsHeldDown && nowNanos - mHoldDownEndNanos < 0;
        return mIsHeldDown || (mIsAttemptLost && backoffNanos(nowNanos) > 0);
    }

    /** Records a refusal; refusals during a backoff have no effect. */
    void recordRefusal(long nowNanos) {
        if (backoffNanos(nowNanos) > 0) {
            return;
        }
        mBackoffNanos =
                nextDelayNanos(
                        mBackoffNanos,
                        mParameters.refusalBackoff(),
                        mParameters.maximumRefusalBackoff());
        mBackoffEndNanos = nowNanos + mBackoffNanos;
        mIsBackingOff = true;
        mIsAttemptLost = false;
    }

    /** Records a broken link to the admitter, such as after its process terminated. */
    void recordLostAttempt(long nowNanos) {
        recordRefusal(nowNanos);
        mIsAttemptLost = true;
    }

    void recordAnswer() {
        mBackoffNanos = 0;
        mIsAttemptLost = false;
    }

    /**
     * Returns the time in nanoseconds for which the region is skipped after a refusal; 0 for none.
     */
    long backoffNanos(long nowNanos) {
        mIsBackingOff = mIsBackingOff && nowNanos - mBackoffEndNanos < 0;
        return mIsBackingOff ? mBackoffEndNanos - nowNanos : 0;
    }

    private static long nextDelayNanos(long before, Duration first, Duration maximum) {
        return before == 0 ? first.toNanos() : Math.min(maximum.toNanos(), 2 * before);
    }
}
