package io.masticpond.core.region;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;

/**
 * Snapshot of the headroom that an admitter last reported, with its age and the number of requests
 * sent since.
 */
final class HeadroomSnapshot {

    private final RegionSelectorParameters mParameters;
    private Headroom mHeadroom;
    private long mObservedNanos;
    private int mSentSince;

    HeadroomSnapshot(RegionSelectorParameters parameters) {
        mParameters = parameters;
    }

    void observe(Headroom headroom, long nowNanos) {
        mHeadroom = headroom;
        mObservedNanos = nowNanos;
        mSentSince = 0;
    }

    void clear() {
        mHeadroom = null;
    }

    void recordSent() {
        mSentSince++;
    }

    /** Returns the step of degradation, by the age of the report and the admitter's own step. */
    DegradationStep step(long nowNanos) {
        if (mHeadroom == null || nowNanos - mObservedNanos > mParameters.staleFor().toNanos()) {
            return DegradationStep.FAIR_SHARE;
        }
        DegradationStep admitterStep = mHeadroom.step();
        if (nowNanos - mObservedNanos <= mParameters.freshFor().toNanos()) {
            return admitterStep;
        }
        return admitterStep.compareTo(DegradationStep.STALE) > 0
                ? admitterStep
                : DegradationStep.STALE;
    }

    /** Determines whether the report is missing or too old to be used. */
    boolean isUnknown(long nowNanos) {
        return mHeadroom == null || nowNanos - mObservedNanos > mParameters.staleFor().toNanos();
    }

    /** Determines whether the report is missing or too old to count as exact. */
    boolean isStale(long nowNanos) {
        return mHeadroom == null || nowNanos - mObservedNanos > mParameters.freshFor().toNanos();
    }

    /**
     * Returns the number of free slots, less the requests sent since the report.
     *
     * @param senders the number of instances that are assumed to send as much as this one
     * @return the number of free slots; negative if there are more requests than slots
     */
    int free(int senders) {
        return mHeadroom.freeSlots() - mSentSince * senders;
    }

    /**
     * Estimates the wait of a request that is sent now.
     *
     * @param senders the number of instances that are assumed to send as much as this one
     * @param serviceTimeNanos the time in nanoseconds for which a request holds a slot
     * @return the wait in nanoseconds
     */
    long waitNanos(int senders, long serviceTimeNanos) {
        if (mHeadroom.usableSlots() == 0) {
            return Long.MAX_VALUE / 4;
        }
        int free = free(senders);
        if (free > 0 && mHeadroom.waiting() == 0) {
            return 0;
        }
        long ahead = Math.max(0, 1 - free) * serviceTimeNanos / mHeadroom.usableSlots();
        return Math.min(Long.MAX_VALUE / 4, mHeadroom.expectedWaitNanos()) + ahead;
    }

    boolean hasFreeShare(int senders, double share) {
        return free(senders) > mHeadroom.usableSlots() * share;
    }
}
