package io.masticpond.core.admission;

/**
 * Snapshot of the counts of one shard at its admitter, exact for the requests that it sent itself.
 *
 * @param usableSlots the slots that may be used now, over all backend servers
 * @param inFlight the requests at backend servers
 * @param waiting the requests in the queue
 * @param expectedWaitNanos the expected wait of a request offered now, in nanoseconds
 * @param step the degradation step in force
 * @since 0.1
 */
public record Headroom(
        int usableSlots, int inFlight, int waiting, long expectedWaitNanos, DegradationStep step) {

    /** Headroom without any slots. */
    public static final Headroom NONE =
            new Headroom(0, 0, 0, Long.MAX_VALUE, DegradationStep.EXACT);

    /**
     * Returns the sum of the counts of two shards of one region. Requests go to the shard with the
     * shorter wait.
     *
     * @param other the counts of the other shard
     * @return the sums, with the shorter wait and the more degraded step
     */
    public Headroom plus(Headroom other) {
        return new Headroom(
                usableSlots + other.usableSlots,
                inFlight + other.inFlight,
                waiting + other.waiting,
                Math.min(expectedWaitNanos, other.expectedWaitNanos),
                step.compareTo(other.step) >= 0 ? step : other.step);
    }

    /**
     * Returns the number of free slots.
     *
     * @return the free slots, not negative
     */
    public int freeSlots() {
        return Math.max(0, usableSlots - inFlight);
    }
}
