package io.masticpond.core.limit;

import java.util.concurrent.TimeUnit;

/**
 * Counter of recent events in a sliding window, in steps of a tenth of a second. For use by a
 * single thread.
 */
final class SlidingWindowCounter {

    private static final int STEPS_PER_SECOND = 10;
    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1) / STEPS_PER_SECOND;

    private final int[] mCounts;
    private long mStep;
    private int mSum;

    /** Creates a counter over the given number of steps, including the current one. */
    SlidingWindowCounter(int steps, long nowNanos) {
        mCounts = new int[steps];
        mStep = nowNanos / STEP_NANOS;
    }

    void add(long nowNanos) {
        move(nowNanos);
        mCounts[index(mStep)]++;
        mSum++;
    }

    /** Returns the rate of the events per second. */
    double perSecond(long nowNanos) {
        move(nowNanos);
        return (double) mSum * STEPS_PER_SECOND / mCounts.length;
    }

    private void move(long nowNanos) {
        long step = nowNanos / STEP_NANOS;
        if (mSum == 0) {
            mStep = Math.max(mStep, step);
            return;
        }
        long first = Math.max(mStep + 1, step - mCounts.length + 1);
        for (long each = first; each <= step; each++) {
            mSum -= mCounts[index(each)];
            mCounts[index(each)] = 0;
        }
        mStep = Math.max(mStep, step);
    }

    private int index(long step) {
        return (int) Math.floorMod(step, (long) mCounts.length);
    }
}
