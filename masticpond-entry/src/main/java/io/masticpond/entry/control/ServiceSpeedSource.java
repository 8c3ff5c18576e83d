package io.masticpond.entry.control;

import java.util.List;

/**
 * Source of the speed of backend servers for operators. Called on the traffic thread.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface ServiceSpeedSource {

    /** Source without services. */
    ServiceSpeedSource NONE = nowNanos -> List.of();

    /**
     * Returns a snapshot of each service whose servers report their speed.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the snapshots
     */
    List<ServiceSpeedView> views(long nowNanos);
}
