package io.masticpond.core.capacity;

import java.util.List;

/**
 * Source of the load of all services for operators.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface ServiceLoadSource {

    /** Source without services. */
    ServiceLoadSource NONE = nowNanos -> List.of();

    /**
     * Returns a snapshot of each service.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the snapshots, ordered by the name of the service
     */
    List<ServiceLoadView> views(long nowNanos);
}
