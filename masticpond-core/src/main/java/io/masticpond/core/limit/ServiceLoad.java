package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;

/**
 * Snapshot of the load of a service as estimated by an instance.
 *
 * @param usableSlots the slots of the usable servers, not negative
 * @param inFlight the requests that run or wait there, of all instances as far as known, not
 *     negative
 * @param meanServiceNanos how long a request holds a slot on average, in nanoseconds; 0 if not
 *     known
 * @since 0.2
 */
public record ServiceLoad(int usableSlots, int inFlight, long meanServiceNanos) {

    /** Validates that the numbers are not negative. */
    public ServiceLoad {
        Assert.notNegative(usableSlots, "A number of slots");
        Assert.notNegative(inFlight, "A number of requests in flight");
        Assert.notNegative(meanServiceNanos, "A mean service time");
    }

    /**
     * Returns the estimated time for which one more request waits for a slot.
     *
     * @return nanoseconds; {@link Long#MAX_VALUE} if there is no slot
     */
    public long expectedWaitNanos() {
        if (usableSlots == 0) {
            return Long.MAX_VALUE;
        }
        long ahead = Math.max(0, inFlight - usableSlots + 1L);
        return (long) ((double) ahead * meanServiceNanos / usableSlots);
    }
}
