package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.support.PartialReports;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Demand of the other instances from the sums that the aggregators reported. A report is valid for
 * 1.2 s.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class DemandTotals implements FleetDemand {

    /** Time after which a report is ignored: one lost report of each kind is tolerated. */
    static final long VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Time for which the index is reused, which bounds the age of an expired report. */
    private static final long INDEX_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ZoneId mOwnZone;
    private final PartialReports<ZoneId, DemandGroup, Demand> mZones =
            new PartialReports<>(VALIDITY_NANOS);
    private Index mIndex = new Index(Map.of(), Map.of(), Map.of(), 0);
    private boolean mIsIndexed;
    private int mSendingInstances = 1;
    private long mReceivedNanos;
    private boolean mHasReceived;

    /** The valid reports by what is asked for. */
    private record Index(
            Map<DemandGroup, Map<ZoneId, Demand>> zones,
            Map<DemandGroup, Map<WorkspaceHash, Demand>> workspaces,
            Map<ZoneId, Integer> instances,
            long nanos) {}

    /**
     * Creates totals without reports.
     *
     * @param ownZone the availability zone of this instance
     */
    public DemandTotals(ZoneId ownZone) {
        mOwnZone = Assert.notNull(ownZone, "The own zone");
    }

    /**
     * Records the demand of a zone. That of the own zone must not include this instance.
     *
     * @param zone the zone
     * @param part the index of the part of the report
     * @param parts the number of parts of the report
     * @param report the demand
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void received(ZoneId zone, int part, int parts, DemandReport report, long nowNanos) {
        mZones.received(
                zone,
                part,
                new PartialReports.Report<>(report.demands(), report.instances(), nowNanos));
        mZones.truncate(zone, parts);
        mReceivedNanos = nowNanos;
        mHasReceived = true;
        mIsIndexed = false;
    }

    /**
     * Sets the number of instances that may be sending requests.
     *
     * @param instances the number, including this instance
     */
    public void setSendingInstances(int instances) {
        mSendingInstances = Math.max(1, instances);
    }

    @Override
    public Map<ZoneId, Demand> byZone(ServiceId service, int priority, long nowNanos) {
        return index(nowNanos).zones().getOrDefault(total(service, priority), Map.of());
    }

    /**
     * Returns the demand of all priorities by zone.
     *
     * @param service the service
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the requests per second of each zone with valid reports, 0 for a zone whose reports
     *     do not list the service; without those of this instance
     */
    public Map<ZoneId, Double> perSecondByZone(ServiceId service, long nowNanos) {
        Index index = index(nowNanos);
        Map<ZoneId, Double> perSecond = new HashMap<>();
        index.instances().keySet().forEach(zone -> perSecond.put(zone, 0.0));
        int hash = DemandGroup.hash(service);
        index.zones()
                .forEach(
                        (group, zones) -> {
                            if (group.serviceHash() == hash) {
                                zones.forEach(
                                        (zone, demand) ->
                                                perSecond.merge(
                                                        zone, demand.perSecond(), Double::sum));
                            }
                        });
        return perSecond;
    }

    @Override
    public Map<WorkspaceHash, Demand> byWorkspaceInOwnZone(
            ServiceId service, int priority, long nowNanos) {
        return index(nowNanos).workspaces().getOrDefault(total(service, priority), Map.of());
    }

    @Override
    public int reportedInstances(long nowNanos) {
        return index(nowNanos).instances().values().stream().mapToInt(Integer::intValue).sum();
    }

    @Override
    public int sendingInstances() {
        return mSendingInstances;
    }

    @Override
    public long ageNanos(long nowNanos) {
        boolean isValid = mHasReceived && nowNanos - mReceivedNanos <= VALIDITY_NANOS;
        return isValid ? Math.max(0, nowNanos - mReceivedNanos) : Long.MAX_VALUE;
    }

    private static DemandGroup total(ServiceId service, int priority) {
        return new DemandGroup(DemandGroup.hash(service), priority, WorkspaceHash.OTHERS);
    }

    private Index index(long nowNanos) {
        if (mIsIndexed && nowNanos - mIndex.nanos() < INDEX_VALIDITY_NANOS) {
            return mIndex;
        }
        mZones.removeExpired(nowNanos);
        Map<DemandGroup, Map<ZoneId, Demand>> zones = new HashMap<>();
        Map<DemandGroup, Map<WorkspaceHash, Demand>> workspaces = new HashMap<>();
        Map<ZoneId, Integer> instances = new HashMap<>();
        mZones.forEach(
                (from, report) -> {
                    ZoneId zone = from.reporter();
                    instances.merge(zone, report.instances(), Math::max);
                    report.values()
                            .forEach(
                                    (group, demand) -> {
                                        zones.computeIfAbsent(group.total(), key -> new HashMap<>())
                                                .merge(zone, demand, Demand::plus);
                                        if (zone.equals(mOwnZone)) {
                                            workspaces
                                                    .computeIfAbsent(
                                                            group.total(), key -> new HashMap<>())
                                                    .merge(group.workspace(), demand, Demand::plus);
                                        }
                                    });
                });
        mIndex = new Index(zones, workspaces, instances, nowNanos);
        mIsIndexed = true;
        return mIndex;
    }
}
