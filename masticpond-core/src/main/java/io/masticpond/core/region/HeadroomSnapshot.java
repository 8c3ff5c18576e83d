package io.masticpond.core.region;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;

/** The counts that an admitter last reported, with their age and what was sent since. */
final class HeadroomSnapshot {

    private final RegionSelectorParameters mKnobs;
    private Headroom mHeadroom;
    private long mObservedNanos;
    private int mSentSince;

    HeadroomSnapshot(RegionSelectorParameters knobs) {
        mKnobs = knobs;
    }

    void observe(Headroom headroom, long nowNanos) {
        mHeadroom = headroom;
        mObservedNanos = nowNanos;
        mSentSince = 0;
    }

    void forget() {
        mHeadroom = null;
    }

    void sent() {
        mSentSince++;
    }

    /** Tells what decisions may rest on, by the age of the report and the admitter's own step. */
    DegradationStep step(long nowNanos) {
        if (mHeadroom == null || nowNanos - mObservedNanos > mKnobs.staleFor().toNanos()) {
            return DegradationStep.FAIR_SHARE;
        }
        DegradationStep own = mHeadroom.step();
        if (nowNanos - mObservedNanos <= mKnobs.freshFor().toNanos()) {
            return own;
        }
        return own.compareTo(DegradationStep.STALE) > 0 ? own : DegradationStep.STALE;
    }

    /** Tells whether the counts are too old to be used. */
    boolean isUnknown(long nowNanos) {
        return mHeadroom == null || nowNanos - mObservedNanos > mKnobs.staleFor().toNanos();
    }

    /** Tells whether the counts are older than exact ones may be. */
    boolean isOld(long nowNanos) {
        return mHeadroom == null || nowNanos - mObservedNanos > mKnobs.freshFor().toNanos();
    }

    /**
     * Counts the slots that are free, less what was sent since.
     *
     * @param senders how many instances are taken to send as much as this one
     * @return the free slots; negative for requests beyond the slots
     */
    int free(int senders) {
        return mHeadroom.freeSlots() - mSentSince * senders;
    }

    /**
     * Estimates the wait of a request offered now.
     *
     * @param senders how many instances are taken to send as much as this one
     * @param workNanos how long a slot is held by a request
     * @return the wait in nanoseconds
     */
    long waitNanos(int senders, long workNanos) {
        if (mHeadroom.usableSlots() == 0) {
            return Long.MAX_VALUE / 4;
        }
        int free = free(senders);
        if (free > 0 && mHeadroom.waiting() == 0) {
            return 0;
        }
        long ahead = Math.max(0, 1 - free) * workNanos / mHeadroom.usableSlots();
        return Math.min(Long.MAX_VALUE / 4, mHeadroom.expectedWaitNanos()) + ahead;
    }

    boolean hasFreeShare(int senders, double share) {
        return free(senders) > mHeadroom.usableSlots() * share;
    }
}
