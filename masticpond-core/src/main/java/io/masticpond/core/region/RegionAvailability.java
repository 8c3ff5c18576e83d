package io.masticpond.core.region;

import java.time.Duration;

/** Whether a region takes work, with slow return after losses and a pause after refusals. */
final class RegionAvailability {

    /** A region that stayed for this many longest hold-downs is forgiven its earlier losses. */
    private static final int FORGIVING_FACTOR = 2;

    private final RegionSelectorParameters mKnobs;
    private boolean mReachable = true;
    private boolean mHeld;
    private long mHeldUntilNanos;
    private long mLostNanos;
    private long mHoldNanos;
    private boolean mAttemptLost;
    private boolean mBacksOff;
    private long mBackoffUntilNanos;
    private long mBackoffNanos;

    RegionAvailability(RegionSelectorParameters knobs) {
        mKnobs = knobs;
    }

    boolean isReachable() {
        return mReachable;
    }

    /** Takes the loss of the region; tells whether it was there before. */
    boolean lost(long nowNanos) {
        if (!mReachable) {
            return false;
        }
        long forgiving = FORGIVING_FACTOR * mKnobs.maximumHoldDown().toNanos();
        boolean again = mHoldNanos > 0 && nowNanos - mLostNanos < forgiving;
        mHoldNanos = longer(again ? mHoldNanos : 0, mKnobs.holdDown(), mKnobs.maximumHoldDown());
        mLostNanos = nowNanos;
        mReachable = false;
        return true;
    }

    /** Takes the return of the region; tells whether it was lost before. */
    boolean returned(long nowNanos) {
        if (mReachable) {
            return false;
        }
        mReachable = true;
        mHeld = true;
        mHeldUntilNanos = nowNanos + mHoldNanos;
        return true;
    }

    /** Tells whether other regions should be used if they can, after a loss. */
    boolean isHeldDown(long nowNanos) {
        mHeld = mHeld && nowNanos - mHeldUntilNanos < 0;
        return mHeld || (mAttemptLost && backoffNanos(nowNanos) > 0);
    }

    /** Takes a refusal; all refusals within one pause count once. */
    void refused(long nowNanos) {
        if (backoffNanos(nowNanos) > 0) {
            return;
        }
        mBackoffNanos =
                longer(mBackoffNanos, mKnobs.refusalBackoff(), mKnobs.maximumRefusalBackoff());
        mBackoffUntilNanos = nowNanos + mBackoffNanos;
        mBacksOff = true;
        mAttemptLost = false;
    }

    /** Takes a broken link to the admitter, such as when its process died. */
    void attemptLost(long nowNanos) {
        refused(nowNanos);
        mAttemptLost = true;
    }

    void answered() {
        mBackoffNanos = 0;
        mAttemptLost = false;
    }

    /** Tells for how long the region is to be skipped because it refused; 0 for not at all. */
    long backoffNanos(long nowNanos) {
        mBacksOff = mBacksOff && nowNanos - mBackoffUntilNanos < 0;
        return mBacksOff ? mBackoffUntilNanos - nowNanos : 0;
    }

    private static long longer(long before, Duration first, Duration maximum) {
        return before == 0 ? first.toNanos() : Math.min(maximum.toNanos(), 2 * before);
    }
}
