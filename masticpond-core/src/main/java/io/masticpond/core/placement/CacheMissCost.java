package io.masticpond.core.placement;

import java.util.Arrays;

/**
 * What cache misses at its servers cost the requests of one service, as measured: the last answers
 * fall into quick ones and those that took more than twice as long. As long as a good part is slow,
 * each further server that a key uses would have to fetch its object, and evict another one for it.
 * Touched by one thread only.
 *
 * @since 0.2
 */
final class CacheMissCost {

    private static final int KEPT = 64;

    /** Sorting the kept times each time would cost more than it tells. */
    private static final int WORK_OUT_EVERY = 8;

    /** The part of the answers that may be quick by chance. */
    private static final int QUICK_PART = 20;

    private static final double SLOW_MULTIPLE = 2;

    private final long[] mTimes = new long[KEPT];
    private final double mAssumed;
    private long mCount;
    private double mMeasured;

    /**
     * Starts without any answer.
     *
     * @param assumed the cost that is assumed at first and given up as answers come
     */
    CacheMissCost(double assumed) {
        mAssumed = assumed;
    }

    /** Takes the time of an answer that did not wait for a slot. */
    void answeredIn(long nanos) {
        mTimes[(int) (mCount % KEPT)] = nanos;
        mCount++;
        if (mCount % WORK_OUT_EVERY == 0) {
            mMeasured = measure();
        }
    }

    /**
     * Gives the time that requests take beyond that of quick ones, on the average, in times of a
     * quick one.
     */
    double value() {
        if (mCount < WORK_OUT_EVERY) {
            return mAssumed;
        }
        double assumedPart = Math.max(0, 1 - (double) mCount / KEPT);
        return assumedPart * mAssumed + (1 - assumedPart) * mMeasured;
    }

    private double measure() {
        int kept = (int) Math.min(KEPT, mCount);
        long[] sorted = Arrays.copyOf(mTimes, kept);
        Arrays.sort(sorted);
        double quick = Math.max(1, sorted[kept / QUICK_PART]);
        double excess = 0;
        for (long time : sorted) {
            excess += time > quick * SLOW_MULTIPLE ? time / quick - 1 : 0;
        }
        return excess / kept;
    }
}
