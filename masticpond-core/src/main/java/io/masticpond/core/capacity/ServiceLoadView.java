package io.masticpond.core.capacity;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.List;
import java.util.Map;

/**
 * Snapshot of the load of one service, as this instance sees it, for operators.
 *
 * @param service the service
 * @param active whether load control is active for the service
 * @param full whether the service is full
 * @param capacityPerSecond the requests per second that the usable servers can process
 * @param fullness the estimated number of requests at all usable servers, relative to their slots
 * @param occupationNanos the mean time that a request occupies a slot, in nanoseconds; 0 if unknown
 * @param regions the capacity of each region
 * @param demandByZone the requests per second by the availability zone of the receiving instance,
 *     including this one
 * @param shareByZone the requests per second that each availability zone may send while the service
 *     is full
 * @param demandAgeNanos the age of the latest report of other instances; {@link Long#MAX_VALUE}
 *     without a report
 * @param refusals the refusals of the last ten seconds
 * @since 0.3
 */
public record ServiceLoadView(
        ServiceId service,
        boolean active,
        boolean full,
        double capacityPerSecond,
        double fullness,
        long occupationNanos,
        Map<RegionId, RegionCapacity> regions,
        Map<ZoneId, Double> demandByZone,
        Map<ZoneId, Double> shareByZone,
        long demandAgeNanos,
        List<RefusalCount> refusals) {

    /** Copies the collections. */
    public ServiceLoadView {
        regions = Map.copyOf(regions);
        demandByZone = Map.copyOf(demandByZone);
        shareByZone = Map.copyOf(shareByZone);
        refusals = List.copyOf(refusals);
    }

    /**
     * Capacity of a service in a region.
     *
     * @param slots the slots of the usable servers
     * @param inFlight the estimated number of requests at these servers
     * @since 0.3
     */
    public record RegionCapacity(int slots, double inFlight) {}

    /**
     * Number of refusals of a group of callers at this instance.
     *
     * @param priority the priority of the requests
     * @param workspace the name of the workspace, or empty text for callers without one
     * @param cause the cause of the refusals
     * @param count the number
     * @since 0.3
     */
    public record RefusalCount(int priority, String workspace, String cause, long count) {}
}
