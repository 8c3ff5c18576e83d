package io.masticpond.core.capacity;

import java.util.Map;

/**
 * Source of the demand at this instance, which is reported to the other instances.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface DemandSource {

    /** Source without demand. */
    DemandSource NONE = nowNanos -> Map.of();

    /**
     * Returns the demand to report. Services for which load control is not active are left out; for
     * a service that is far from full, all workspaces are reported as one.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the demand of each group
     */
    Map<DemandKey, Demand> demand(long nowNanos);
}
