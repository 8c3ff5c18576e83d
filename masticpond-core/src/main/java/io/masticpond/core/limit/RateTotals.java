package io.masticpond.core.limit;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.PartialReports;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Sums of the rate usage that the instances of an availability zone and the other zones reported,
 * at the instance that aggregates them for its zone. A state machine for use by a single thread.
 *
 * @since 0.2
 */
public final class RateTotals {

    /** Time after which a report of an instance is ignored. */
    private static final long INSTANCE_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** Time after which a report of a zone is ignored. Zones report half as often. */
    private static final long ZONE_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

    /** Time for which a computed sum is reused. */
    private static final long SUM_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Sum of rate usage over a number of instances.
     *
     * @param uses the usage by the hash of the workspace
     * @param instances the number of instances
     */
    public record Sum(Map<Integer, RateUsage> uses, int instances) {}

    private final PartialReports<InstanceId, Integer, RateUsage> mInstances =
            new PartialReports<>(INSTANCE_VALIDITY_NANOS);
    private final Map<Integer, Sums> mSums = new HashMap<>();
    private final PartialReports<ZoneId, Integer, RateUsage> mZones =
            new PartialReports<>(ZONE_VALIDITY_NANOS);

    /**
     * Records the usage of an instance of the own zone, which replaces its previous report.
     *
     * @param instance the instance
     * @param part the part of its workspaces that the report covers
     * @param uses its usage by the hash of the workspace
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void received(
            InstanceId instance, int part, Map<Integer, RateUsage> uses, long nowNanos) {
        mInstances.received(instance, part, new PartialReports.Report<>(uses, 1, nowNanos));
    }

    /**
     * Records the usage of another zone.
     *
     * @param zone the zone
     * @param part the part of its workspaces that the report covers
     * @param sum the sum of the usage of its instances
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void received(ZoneId zone, int part, Sum sum, long nowNanos) {
        mZones.received(
                zone, part, new PartialReports.Report<>(sum.uses(), sum.instances(), nowNanos));
    }

    /**
     * Returns the sum of the usage of the own zone.
     *
     * @param part the part of the workspaces whose instances are counted
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the sum
     */
    public Sum ofZone(int part, long nowNanos) {
        return sums(part, nowNanos).zone();
    }

    /**
     * Returns the sum of the usage of all other instances, from the point of view of one instance
     * of the own zone.
     *
     * @param instance the instance, which is excluded from the sum
     * @param part the part of the workspaces whose instances are counted
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the sum
     */
    public Sum forInstance(InstanceId instance, int part, long nowNanos) {
        Sums sums = sums(part, nowNanos);
        Sum all = sums.all();
        PartialReports.Report<Integer, RateUsage> own = sums.received().of(instance, part);
        if (own == null) {
            return all;
        }
        Map<Integer, RateUsage> uses = new HashMap<>(all.uses());
        own.values()
                .forEach(
                        (hash, usage) ->
                                uses.computeIfPresent(hash, (same, sum) -> sum.minus(usage)));
        return new Sum(uses, all.instances() - own.instances());
    }

    /** Sums computed at one time, with the reports of the instances that they include. */
    private record Sums(
            Sum zone,
            Sum all,
            PartialReports<InstanceId, Integer, RateUsage> received,
            long nanos) {}

    /**
     * Returns the sums, which are computed again only when they expire, since each instance of the
     * zone requests them often.
     */
    private Sums sums(int part, long nowNanos) {
        Sums sums = mSums.get(part);
        if (sums != null && nowNanos - sums.nanos() < SUM_VALIDITY_NANOS) {
            return sums;
        }
        mInstances.removeExpired(nowNanos);
        mZones.removeExpired(nowNanos);
        Adder zone = new Adder(part);
        mInstances.forEach((from, report) -> zone.add(from.part(), sum(report)));
        Adder all = new Adder(part);
        all.add(part, zone.sum());
        mZones.forEach((from, report) -> all.add(from.part(), sum(report)));
        sums = new Sums(zone.sum(), all.sum(), mInstances.copy(), nowNanos);
        mSums.put(part, sums);
        return sums;
    }

    private static Sum sum(PartialReports.Report<Integer, RateUsage> report) {
        return new Sum(report.values(), report.instances());
    }

    /** Accumulator that adds up sums, and counts the instances in the reports of one part. */
    private static final class Adder {

        private final Map<Integer, RateUsage> mUses = new HashMap<>();
        private final int mPart;
        private int mInstances;

        Adder(int part) {
            mPart = part;
        }

        void add(int part, Sum sum) {
            sum.uses().forEach((hash, usage) -> mUses.merge(hash, usage, RateUsage::plus));
            mInstances += part == mPart ? sum.instances() : 0;
        }

        Sum sum() {
            return new Sum(mUses, mInstances);
        }
    }
}
