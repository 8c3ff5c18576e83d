package io.masticpond.core.speed;

import java.util.Arrays;

/**
 * Run times of one route at the servers of one service, with the slowdown divided out: the time of
 * a cache hit, that of a miss, and the probability of a hit by the rank of the server among the
 * homes of the key. Hits and misses are not reported, so they are told apart by dividing the latest
 * times into the two groups with the least variance of their logarithms.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class RunTimes {

    private static final int SAMPLES = 128;
    private static final int MINIMUM_SAMPLES = 16;

    /** Number of samples between divisions, since sorting them for each would be expensive. */
    private static final int INTERVAL = 16;

    /** Least factor between the mean times of hits and misses. */
    private static final double MINIMUM_RATIO = 1.6;

    /**
     * Least distance of both groups in standard deviations within a group. The halves of a single
     * group with a normal distribution are 2.7 apart.
     */
    private static final double MINIMUM_SEPARATION = 3.2;

    private static final double MINIMUM_SPREAD = 0.05;
    private static final double MAXIMUM_SPREAD = 0.5;
    private static final double INITIAL_SPREAD = 0.2;
    private static final double SMOOTHING_FACTOR = 0.02;

    /**
     * Assumed time of a hit relative to a miss while the times do not differ: after a start, all
     * runs are misses, and a choice that ignores the cost of a miss would spread the keys.
     */
    private static final double ASSUMED_HIT_PART = 0.4;

    /** Number of runs after which times that do not differ mean that the servers cache nothing. */
    private static final double ASSUMED_RUNS = 512;

    /** Assumed probabilities of a hit before any are observed, by rank; the last for all others. */
    private static final double[] ASSUMED_HOLD = {0.7, 0.3, 0.1, 0.05};

    private final double[] mLogarithms = new double[SAMPLES];
    private final double[] mHold = ASSUMED_HOLD.clone();
    private long mCount;
    private double mHitLogarithm;
    private double mMissLogarithm;
    private double mSpread = INITIAL_SPREAD;
    private boolean mIsDivided;

    /**
     * Records the time of a run that did not wait for a slot.
     *
     * @param nanos the time with the slowdown divided out, positive
     * @param rank the rank of the server among the homes of the key, from 0
     */
    public void record(double nanos, int rank) {
        double logarithm = Math.log(nanos);
        mLogarithms[(int) (mCount % SAMPLES)] = logarithm;
        mCount++;
        if (mCount % INTERVAL == 0) {
            divide();
        }
        if (mIsDivided) {
            int index = Math.min(rank, mHold.length - 1);
            double hit = logarithm < (mHitLogarithm + mMissLogarithm) / 2 ? 1 : 0;
            mHold[index] += SMOOTHING_FACTOR * (hit - mHold[index]);
        }
    }

    private void divide() {
        int count = (int) Math.min(SAMPLES, mCount);
        double[] sorted = Arrays.copyOf(mLogarithms, count);
        Arrays.sort(sorted);
        double total = 0;
        double squares = 0;
        for (double each : sorted) {
            total += each;
            squares += each * each;
        }
        double sum = 0;
        double between = 0;
        double lower = 0;
        double upper = 0;
        for (int size = 1; size < count; size++) {
            sum += sorted[size - 1];
            double lowerMean = sum / size;
            double upperMean = (total - sum) / (count - size);
            double distance = upperMean - lowerMean;
            double value = (double) size * (count - size) / count * distance * distance;
            if (value > between) {
                between = value;
                lower = lowerMean;
                upper = upperMean;
            }
        }
        double mean = total / count;
        double variance = Math.max(0, squares - total * mean);
        double within = Math.sqrt(Math.max(0, variance - between) / count);
        if (upper - lower >= Math.max(Math.log(MINIMUM_RATIO), MINIMUM_SEPARATION * within)) {
            mIsDivided = true;
            mHitLogarithm = lower;
            mMissLogarithm = upper;
            setSpread(within);
        } else {
            applySingleGroup(mean, Math.sqrt(variance / count));
        }
    }

    /** Updates the times while the samples are all hits or all misses, or do not differ. */
    private void applySingleGroup(double mean, double spread) {
        setSpread(spread);
        if (!mIsDivided) {
            mHitLogarithm = mean;
            mMissLogarithm = mean;
        } else if (mean < (mHitLogarithm + mMissLogarithm) / 2) {
            mMissLogarithm += mean - mHitLogarithm;
            mHitLogarithm = mean;
        } else {
            mHitLogarithm += mean - mMissLogarithm;
            mMissLogarithm = mean;
        }
    }

    private void setSpread(double spread) {
        mSpread = Math.max(MINIMUM_SPREAD, Math.min(MAXIMUM_SPREAD, spread));
    }

    /**
     * Determines whether enough runs were recorded to predict others.
     *
     * @return whether the times are known
     */
    public boolean isKnown() {
        return mCount >= MINIMUM_SAMPLES;
    }

    /**
     * Returns the time of a cache hit at the normal speed.
     *
     * @return nanoseconds; while hits and misses do not differ, an assumed part of the mean of all
     *     runs, which approaches that mean
     */
    public double hitNanos() {
        if (mIsDivided) {
            return Math.exp(mHitLogarithm);
        }
        double assumed = Math.max(0, 1 - mCount / ASSUMED_RUNS);
        return missNanos() * (1 - assumed * (1 - ASSUMED_HIT_PART));
    }

    /**
     * Returns the time of a cache miss at the normal speed.
     *
     * @return nanoseconds; the mean of all runs while hits and misses do not differ
     */
    public double missNanos() {
        return Math.exp(mMissLogarithm);
    }

    /**
     * Returns the standard deviation of the logarithm of the time of hits, or of misses.
     *
     * @return the deviation, from 0.05 to 0.5
     */
    public double spread() {
        return mSpread;
    }

    /**
     * Returns the probability that a server holds the object of a key.
     *
     * @param rank the rank of the server among the homes of the key, from 0
     * @return the probability
     */
    public double holdProbability(int rank) {
        return mHold[Math.min(rank, mHold.length - 1)];
    }
}
