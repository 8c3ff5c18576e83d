package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.Map;

/**
 * Demand of the other instances, as last received by this instance. The own demand is not included.
 *
 * @since 0.3
 */
public interface FleetDemand {

    /** No reports of other instances. */
    FleetDemand NONE =
            new FleetDemand() {
                @Override
                public Map<ZoneId, Demand> byZone(ServiceId service, int priority, long nowNanos) {
                    return Map.of();
                }

                @Override
                public Map<WorkspaceHash, Demand> byWorkspaceInOwnZone(
                        ServiceId service, int priority, long nowNanos) {
                    return Map.of();
                }

                @Override
                public int reportedInstances(long nowNanos) {
                    return 0;
                }

                @Override
                public int sendingInstances() {
                    return 1;
                }

                @Override
                public long ageNanos(long nowNanos) {
                    return Long.MAX_VALUE;
                }
            };

    /**
     * Returns the demand by the availability zone of the instances that receive it.
     *
     * @param service the service
     * @param priority the priority of the requests
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the demand of each zone with valid reports, without that of this instance
     */
    Map<ZoneId, Demand> byZone(ServiceId service, int priority, long nowNanos);

    /**
     * Returns the demand of the workspaces in this instance's availability zone.
     *
     * @param service the service
     * @param priority the priority of the requests
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the demand of each listed workspace, without that of this instance
     */
    Map<WorkspaceHash, Demand> byWorkspaceInOwnZone(ServiceId service, int priority, long nowNanos);

    /**
     * Returns the number of other instances whose reports are valid.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the number, without this instance
     */
    int reportedInstances(long nowNanos);

    /**
     * Returns the number of instances that may be sending requests, reachable or not.
     *
     * @return the number, at least 1, including this instance
     */
    int sendingInstances();

    /**
     * Returns the age of the latest valid report.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return nanoseconds, {@link Long#MAX_VALUE} without a report
     */
    long ageNanos(long nowNanos);
}
