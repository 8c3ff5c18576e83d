package io.masticpond.entry.log;

import java.util.concurrent.TimeUnit;

/** Lines that may be written now: so many a second, and one second's worth at once. */
final class LineBudget {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private volatile int mLinesPerSecond;
    private double mLeft;
    private long mFilledNanos;

    LineBudget(int linesPerSecond, long nowNanos) {
        mLinesPerSecond = linesPerSecond;
        mLeft = linesPerSecond;
        mFilledNanos = nowNanos;
    }

    /** Takes another number of lines a second, on any thread. */
    void setLinesPerSecond(int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /** Adds what the time since the last call allows. */
    void refill(long nowNanos) {
        double grown = mLeft + (nowNanos - mFilledNanos) * mLinesPerSecond / NANOS_PER_SECOND;
        mLeft = Math.min(mLinesPerSecond, grown);
        mFilledNanos = nowNanos;
    }

    /** Counts the lines that a class may still write. */
    int allowed(LinePriority lineClass) {
        return (int) Math.max(0, mLeft - lineClass.reserve() * mLinesPerSecond);
    }

    /** Takes lines that were written. */
    void take(int lines) {
        mLeft -= lines;
    }
}
