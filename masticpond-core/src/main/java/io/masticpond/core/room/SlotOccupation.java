package io.masticpond.core.room;

import io.masticpond.core.id.ServiceId;

/**
 * Strategy interface for the time that a request occupies a slot of a server.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface SlotOccupation {

    /** Source without measured times, with which no region is predicted to be full. */
    SlotOccupation UNKNOWN = (service, nowNanos) -> 0;

    /**
     * Returns the mean time that a request occupies a slot, with misses and the current slowdown
     * but without the time that it waits for the slot.
     *
     * @param service the service
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return nanoseconds, 0 if unknown
     */
    long nanos(ServiceId service, long nowNanos);
}
