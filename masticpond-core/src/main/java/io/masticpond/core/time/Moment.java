package io.masticpond.core.time;

import java.util.concurrent.TimeUnit;

/**
 * Point in time according to both clocks of the machine. The monotonic clock stops while the
 * machine is suspended, and the wall clock may be stepped. Where an age must not be underestimated,
 * the longer of both elapsed times counts.
 *
 * @param monotonicNanos the monotonic time, in nanoseconds
 * @param wallMillis the wall time since the epoch, in milliseconds
 * @since 0.2
 */
public record Moment(long monotonicNanos, long wallMillis) {

    /**
     * Returns the current moment according to both clocks.
     *
     * @param timeSource the source of both clocks
     * @return the current moment
     */
    public static Moment of(TimeSource timeSource) {
        return new Moment(timeSource.monotonicNanos(), timeSource.millis());
    }

    /**
     * Returns the maximum time that has passed since this moment.
     *
     * @param now a later moment
     * @return nanoseconds, the longer of the elapsed times of both clocks
     */
    public long nanosUntil(Moment now) {
        long wall = TimeUnit.MILLISECONDS.toNanos(now.wallMillis - wallMillis);
        return Math.max(now.monotonicNanos - monotonicNanos, wall);
    }

    /**
     * Returns the moment that is the given time earlier.
     *
     * @param nanos the time to subtract, in nanoseconds
     * @return the earlier moment
     */
    public Moment minusNanos(long nanos) {
        long millis = TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
        return new Moment(monotonicNanos - nanos, wallMillis - millis);
    }
}
