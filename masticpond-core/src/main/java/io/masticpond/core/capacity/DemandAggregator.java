package io.masticpond.core.capacity;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.PartialReports;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Sums of the demand that the instances of an availability zone and the other zones reported, at
 * the instance that aggregates them for its zone. A state machine for use by a single thread.
 *
 * @since 0.3
 */
public final class DemandAggregator {

    /** Time for which a computed sum is reused. */
    private static final long SUM_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final PartialReports<InstanceId, DemandGroup, Demand> mInstances =
            new PartialReports<>(DemandTotals.VALIDITY_NANOS);
    private final PartialReports<ZoneId, DemandGroup, Demand> mZones =
            new PartialReports<>(DemandTotals.VALIDITY_NANOS);
    private Map<DemandGroup, Demand> mSum = Map.of();
    private Map<InstanceId, Map<DemandGroup, Demand>> mSummands = Map.of();
    private long mSumNanos;
    private boolean mHasSum;

    /**
     * Records the demand of an instance of the own zone.
     *
     * @param instance the instance
     * @param part the index of the part of its report
     * @param parts the number of parts of its report
     * @param report the demand
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void received(
            InstanceId instance, int part, int parts, DemandReport report, long nowNanos) {
        mInstances.received(
                instance, part, new PartialReports.Report<>(report.demands(), 1, nowNanos));
        mInstances.truncate(instance, parts);
    }

    /**
     * Records the demand of another zone.
     *
     * @param zone the zone
     * @param part the index of the part of its report
     * @param parts the number of parts of its report
     * @param report the demand
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void received(ZoneId zone, int part, int parts, DemandReport report, long nowNanos) {
        mZones.received(
                zone,
                part,
                new PartialReports.Report<>(report.demands(), report.instances(), nowNanos));
        mZones.truncate(zone, parts);
    }

    /**
     * Returns the demand of the own zone.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the sum, without workspaces
     */
    public DemandReport ofZone(long nowNanos) {
        updateSum(nowNanos);
        return new DemandReport(mSum, mSummands.size()).totals();
    }

    /**
     * Returns the demand of the other instances of the own zone.
     *
     * @param instance the instance, which is excluded from the sum
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the sum, by workspace
     */
    public DemandReport forInstance(InstanceId instance, long nowNanos) {
        updateSum(nowNanos);
        Map<DemandGroup, Demand> own = mSummands.get(instance);
        if (own == null) {
            return new DemandReport(mSum, mSummands.size());
        }
        Map<DemandGroup, Demand> others = new HashMap<>(mSum);
        own.forEach((group, demand) -> others.computeIfPresent(group, (g, s) -> s.minus(demand)));
        return new DemandReport(others, mSummands.size() - 1);
    }

    /**
     * Returns the demand of the other zones.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the demand of each zone with a valid report
     */
    public Map<ZoneId, DemandReport> otherZones(long nowNanos) {
        mZones.removeExpired(nowNanos);
        Map<ZoneId, Map<DemandGroup, Demand>> demands = new HashMap<>();
        Map<ZoneId, Integer> instances = new HashMap<>();
        mZones.forEach(
                (from, report) -> {
                    demands.computeIfAbsent(from.reporter(), zone -> new HashMap<>())
                            .putAll(report.values());
                    instances.merge(from.reporter(), report.instances(), Math::max);
                });
        Map<ZoneId, DemandReport> zones = new HashMap<>();
        demands.forEach(
                (zone, values) -> zones.put(zone, new DemandReport(values, instances.get(zone))));
        return zones;
    }

    /** Computes the sum again only when it expires, since each instance requests it often. */
    private void updateSum(long nowNanos) {
        if (mHasSum && nowNanos - mSumNanos < SUM_VALIDITY_NANOS) {
            return;
        }
        mInstances.removeExpired(nowNanos);
        Map<DemandGroup, Demand> sum = new HashMap<>();
        Map<InstanceId, Map<DemandGroup, Demand>> summands = new HashMap<>();
        mInstances.forEach(
                (from, report) ->
                        summands.computeIfAbsent(from.reporter(), id -> new HashMap<>())
                                .putAll(report.values()));
        summands.values()
                .forEach(each -> each.forEach((key, value) -> sum.merge(key, value, Demand::plus)));
        mSum = sum;
        mSummands = summands;
        mSumNanos = nowNanos;
        mHasSum = true;
    }
}
