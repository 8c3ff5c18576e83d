package io.masticpond.core.capacity;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Number of events in the last ten seconds, in steps of a second.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class RecentCount {

    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long[] mCounts = new long[10];
    private long mStep;

    void add(long change, long nowNanos) {
        move(nowNanos);
        mCounts[(int) Math.floorMod(mStep, (long) mCounts.length)] += change;
    }

    long sum(long nowNanos) {
        move(nowNanos);
        return Arrays.stream(mCounts).sum();
    }

    private void move(long nowNanos) {
        long step = Math.floorDiv(nowNanos, STEP_NANOS);
        if (step - mStep >= mCounts.length || step < mStep) {
            Arrays.fill(mCounts, 0);
        } else {
            for (long each = mStep + 1; each <= step; each++) {
                mCounts[(int) Math.floorMod(each, (long) mCounts.length)] = 0;
            }
        }
        mStep = step;
    }
}
