package io.masticpond.core.placement;

import java.util.Arrays;

/**
 * Measured cost of cache misses for the requests of one service. The latest answers are divided
 * into quick ones and those that took more than twice as long. While a considerable part is slow,
 * each further server that a key uses would have to fetch the key's object and evict another one
 * for it.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
final class CacheMissCost {

    private static final int SAMPLES = 64;

    /**
     * Number of answers between measurements, since sorting the samples for each answer would be
     * too expensive.
     */
    private static final int MEASURE_INTERVAL = 8;

    /** One in this many answers may be quick by chance. */
    private static final int QUICK_DIVISOR = 20;

    private static final double SLOW_MULTIPLE = 2;

    private final long[] mTimes = new long[SAMPLES];
    private final double mAssumed;
    private long mCount;
    private double mMeasured;

    /**
     * Creates a cost without samples.
     *
     * @param assumed the cost that is assumed at first and gradually replaced by the measured one
     */
    CacheMissCost(double assumed) {
        mAssumed = assumed;
    }

    /** Records the time of an answer whose request did not wait for a slot. */
    void recordAnswerTime(long nanos) {
        mTimes[(int) (mCount % SAMPLES)] = nanos;
        mCount++;
        if (mCount % MEASURE_INTERVAL == 0) {
            mMeasured = measure();
        }
    }

    /**
     * Returns the average time that requests take beyond that of quick ones, as a multiple of the
     * time of a quick one.
     */
    double value() {
        if (mCount < MEASURE_INTERVAL) {
            return mAssumed;
        }
        double assumedShare = Math.max(0, 1 - (double) mCount / SAMPLES);
        return assumedShare * mAssumed + (1 - assumedShare) * mMeasured;
    }

    private double measure() {
        int sampleCount = (int) Math.min(SAMPLES, mCount);
        long[] sorted = Arrays.copyOf(mTimes, sampleCount);
        Arrays.sort(sorted);
        double quick = Math.max(1, sorted[sampleCount / QUICK_DIVISOR]);
        double excess = 0;
        for (long time : sorted) {
            excess += time > quick * SLOW_MULTIPLE ? time / quick - 1 : 0;
        }
        return excess / sampleCount;
    }
}
