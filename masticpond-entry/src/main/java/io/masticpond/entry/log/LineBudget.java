package io.masticpond.entry.log;

import java.util.concurrent.TimeUnit;

/** Token bucket for lines: refills at the rate per second and holds at most one second's lines. */
final class LineBudget {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private volatile int mLinesPerSecond;
    private double mRemaining;
    private long mFilledNanos;

    LineBudget(int linesPerSecond, long nowNanos) {
        mLinesPerSecond = linesPerSecond;
        mRemaining = linesPerSecond;
        mFilledNanos = nowNanos;
    }

    /** Sets the number of lines per second; may be called on any thread. */
    void setLinesPerSecond(int linesPerSecond) {
        mLinesPerSecond = linesPerSecond;
    }

    /** Refills the budget for the time since the last call. */
    void refill(long nowNanos) {
        double refilled =
                mRemaining + (nowNanos - mFilledNanos) * mLinesPerSecond / NANOS_PER_SECOND;
        mRemaining = Math.min(mLinesPerSecond, refilled);
        mFilledNanos = nowNanos;
    }

    /** Returns the number of lines of a priority that may still be written. */
    int allowed(LinePriority priority) {
        return (int) Math.max(0, mRemaining - priority.reserve() * mLinesPerSecond);
    }

    /** Charges lines that were written. */
    void take(int lines) {
        mRemaining -= lines;
    }
}
