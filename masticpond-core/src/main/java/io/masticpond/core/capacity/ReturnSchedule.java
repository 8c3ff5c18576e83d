package io.masticpond.core.capacity;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Schedule that gives each refused request of a group a time of return. Successive refusals get
 * successive times at the rate of free capacity, so that clients return in order and not at once.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 *
 * @since 0.3
 */
public final class ReturnSchedule {

    /** Divisor of the remaining time of a client that gives its maximum pause. */
    private static final long REMAINING_TIME_DIVISOR = 3;

    /** Maximum part of a step, and of the maximum pause, over which returns are spread. */
    private static final double SPREAD = 1.0 / 3;

    private final long mMinimumNanos;
    private final UniformRandomProvider mRandom;
    private double mNextNanos;
    private double mStepNanos;

    /**
     * Creates a schedule in which all times are free.
     *
     * @param minimumPause the minimum time until a return
     * @param random the source of randomness for the spread
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public ReturnSchedule(Duration minimumPause, UniformRandomProvider random, long nowNanos) {
        mMinimumNanos = minimumPause.toNanos();
        mRandom = Assert.notNull(random, "A source of randomness");
        mNextNanos = nowNanos;
    }

    /**
     * Assigns the next time of return. Without free capacity within a third of the remaining time,
     * which is the longest that a client waits, no capacity is assigned and the pause is that
     * limit, less a random part of up to a third.
     *
     * @param earliestPauseNanos the time until a return is of use, in nanoseconds; at least the
     *     minimum pause applies
     * @param freePerSecond the requests per second for which the group has free capacity
     * @param leftNanos the remaining time of the client, in nanoseconds
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the pause in nanoseconds, never more than a third of the remaining time
     */
    public long assign(
            long earliestPauseNanos, double freePerSecond, long leftNanos, long nowNanos) {
        long maximum = Math.max(0, leftNanos / REMAINING_TIME_DIVISOR);
        double earliest = nowNanos + (double) Math.max(mMinimumNanos, earliestPauseNanos);
        double step = freePerSecond > 0 ? 1e9 / freePerSecond : Double.POSITIVE_INFINITY;
        double time = Math.max(earliest, mNextNanos);
        mStepNanos = 0;
        if (time + step * SPREAD - nowNanos > maximum) {
            long pause = (long) (maximum * (1 - SPREAD * mRandom.nextDouble()));
            return Math.min(maximum, Math.max(mMinimumNanos, pause));
        }
        mStepNanos = step;
        mNextNanos = time + step;
        return (long) (time - nowNanos + step * SPREAD * mRandom.nextDouble());
    }

    /** Frees the time that was assigned last, since its request was admitted after all. */
    public void withdrawLast() {
        mNextNanos -= mStepNanos;
        mStepNanos = 0;
    }
}
