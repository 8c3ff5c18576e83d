package io.masticpond.entry.metrics;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/** Histogram of durations. Safe for use by multiple threads. */
final class LatencyBuckets {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double[] BOUNDS = {
        0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5, 10, 30
    };
    private static final long[] BOUNDS_NANOS = boundsInNanos();

    private final AtomicLongArray mCounts = new AtomicLongArray(BOUNDS.length + 1);
    private final AtomicLong mSumNanos = new AtomicLong();

    /** Adds a duration. */
    void add(long nanos) {
        int index = 0;
        while (index < BOUNDS_NANOS.length && nanos > BOUNDS_NANOS[index]) {
            index++;
        }
        mCounts.getAndIncrement(index);
        mSumNanos.getAndAdd(nanos);
    }

    /** Returns the upper bound of each bucket in seconds. The last bucket is unbounded. */
    static double[] bounds() {
        double[] bounds = new double[BOUNDS.length + 1];
        System.arraycopy(BOUNDS, 0, bounds, 0, BOUNDS.length);
        bounds[BOUNDS.length] = Double.POSITIVE_INFINITY;
        return bounds;
    }

    /** Returns the count of each bucket. */
    long[] counts() {
        long[] counts = new long[mCounts.length()];
        for (int index = 0; index < counts.length; index++) {
            counts[index] = mCounts.get(index);
        }
        return counts;
    }

    /** Returns whether no duration was added. */
    boolean isEmpty() {
        for (int index = 0; index < mCounts.length(); index++) {
            if (mCounts.get(index) > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the sum of all durations in seconds. */
    double sum() {
        return mSumNanos.get() / NANOS_PER_SECOND;
    }

    private static long[] boundsInNanos() {
        long[] nanos = new long[BOUNDS.length];
        for (int index = 0; index < nanos.length; index++) {
            nanos[index] = Math.round(BOUNDS[index] * NANOS_PER_SECOND);
        }
        return nanos;
    }
}
