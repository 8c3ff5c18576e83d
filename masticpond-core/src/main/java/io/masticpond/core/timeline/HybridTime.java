package io.masticpond.core.timeline;

import io.masticpond.core.support.Assert;
import java.time.Instant;

/**
 * Point in hybrid logical time: a wall time in milliseconds and a counter within the millisecond.
 *
 * <p>If one event precedes another in the causal order, its time is lower. The times of unrelated
 * events compare by wall time, with the accuracy to which the clocks of their machines agree.
 *
 * @param packed the milliseconds since the epoch in the upper 48 bits and the counter in the lower
 *     16, which is also the wire format; not negative
 * @since 0.1
 */
public record HybridTime(long packed) implements Comparable<HybridTime> {

    /** The lowest time. */
    public static final HybridTime ZERO = new HybridTime(0);

    /** The number of bits of the counter. */
    static final int COUNTER_BITS = 16;

    private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

    /**
     * Validates the range.
     *
     * @throws IllegalArgumentException if the packed form is negative
     */
    public HybridTime {
        Assert.notNegative(packed, "A hybrid time");
    }

    /**
     * Creates a time from a wall time and a counter.
     *
     * @param wallMillis milliseconds since the epoch, from 0 to 2^47 - 1
     * @param counter the counter, from 0 to 65,535
     * @return the time
     * @throws IllegalArgumentException if an argument is out of range
     */
    public static HybridTime of(long wallMillis, int counter) {
        Assert.isTrue(
                wallMillis >= 0 && wallMillis <= Long.MAX_VALUE >> COUNTER_BITS,
                "A wall time must lie between 0 and 2^47 - 1 ms, but was %d ms.",
                wallMillis);
        Assert.isTrue(
                counter >= 0 && counter <= COUNTER_MASK,
                "A counter must lie between 0 and %d, but was %d.",
                COUNTER_MASK,
                counter);
        return new HybridTime(wallMillis << COUNTER_BITS | counter);
    }

    /**
     * Returns the wall time.
     *
     * @return milliseconds since the epoch
     */
    public long wallMillis() {
        return packed >> COUNTER_BITS;
    }

    /**
     * Returns the wall time as an instant.
     *
     * @return the instant, with a resolution of one millisecond
     */
    public Instant instant() {
        return Instant.ofEpochMilli(wallMillis());
    }

    /**
     * Returns the counter.
     *
     * @return the counter, from 0 to 65,535
     */
    public int counter() {
        return (int) (packed & COUNTER_MASK);
    }

    @Override
    public int compareTo(HybridTime other) {
        return Long.compare(packed, other.packed);
    }

    @Override
    public String toString() {
        return wallMillis() + "." + counter();
    }
}
