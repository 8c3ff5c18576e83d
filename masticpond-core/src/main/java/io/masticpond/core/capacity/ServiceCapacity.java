package io.masticpond.core.capacity;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Slots of the usable servers of one service, and how many of them are in use.
 *
 * <p>An instance receives few answers, so it has recent reports of only some servers. For the
 * others it assumes the mean of its own answers, because their decayed loads would say that a full
 * service has free slots. Reports of other instances are not part of this mean: they are sent for
 * full servers only.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 *
 * @since 0.3
 */
public final class ServiceCapacity {

    private static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Number of own answers, decayed, from which on their mean stands for the servers without a
     * recent report. A single answer says too little about all servers.
     */
    private static final double MINIMUM_SAMPLES = 2;

    private final Map<ZoneId, RegionId> mRegions;
    private final DecayingRate mSampleWeights = new DecayingRate(REPORT_VALIDITY_NANOS);
    private final DecayingRate mSamplesInUse = new DecayingRate(REPORT_VALIDITY_NANOS);
    private Map<RegionId, RegionSum> mByRegion = Map.of();
    private int mSlots;
    private double mSlotsInUse;
    private double mInFlight;
    private double mPacedInFlight;

    /**
     * Creates a capacity without servers.
     *
     * @param regions the region of each availability zone
     */
    public ServiceCapacity(Map<ZoneId, RegionId> regions) {
        mRegions = Map.copyOf(regions);
    }

    /**
     * Records the load that a server reported with an answer to this instance.
     *
     * @param reported the load
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void reported(ReportedLoad reported, long nowNanos) {
        int inUse = Math.min(reported.slots(), reported.running() + reported.waiting());
        mSampleWeights.add(nowNanos);
        mSamplesInUse.add((double) inUse / reported.slots(), nowNanos);
    }

    /**
     * Replaces the usable servers.
     *
     * @param usable the servers that may take requests
     * @param isPaced determines which of these accept requests at a bounded rate; such a server
     *     counts with the requests that it has, since its slots can't be used freely
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void update(List<ServerLoad> usable, Predicate<ServerLoad> isPaced, long nowNanos) {
        Assert.notNull(usable, "A list of servers");
        OptionalDouble assumed = assumedUse(nowNanos);
        Map<RegionId, RegionSum> byRegion = new HashMap<>();
        mSlots = 0;
        mSlotsInUse = 0;
        mInFlight = 0;
        mPacedInFlight = 0;
        for (ServerLoad load : usable) {
            if (isPaced.test(load)) {
                mPacedInFlight += Math.min(load.server().slots(), load.inFlight(nowNanos));
                continue;
            }
            int slots = load.server().slots();
            double inFlight = inFlight(load, assumed, nowNanos);
            mSlots += slots;
            mSlotsInUse += Math.min(slots, inFlight);
            mInFlight += inFlight;
            RegionId region = mRegions.get(load.server().zone());
            if (region != null) {
                RegionSum sum = byRegion.computeIfAbsent(region, id -> new RegionSum());
                sum.mSlots += slots;
                sum.mInFlight += inFlight;
            }
        }
        mByRegion = byRegion;
    }

    /** Sum over the servers of a region, mutable since it is updated for each server. */
    private static final class RegionSum {

        private int mSlots;
        private double mInFlight;
    }

    private OptionalDouble assumedUse(long nowNanos) {
        double weight = mSampleWeights.count(nowNanos);
        return weight < MINIMUM_SAMPLES
                ? OptionalDouble.empty()
                : OptionalDouble.of(mSamplesInUse.count(nowNanos) / weight);
    }

    private static double inFlight(ServerLoad load, OptionalDouble assumed, long nowNanos) {
        OptionalDouble recent = load.recentInFlight(REPORT_VALIDITY_NANOS, nowNanos);
        if (recent.isPresent()) {
            return recent.getAsDouble();
        }
        double decayed = load.inFlight(nowNanos);
        return assumed.isPresent()
                ? Math.max(decayed, assumed.getAsDouble() * load.server().slots())
                : decayed;
    }

    /**
     * Returns the requests per second that the usable servers can process.
     *
     * @param occupationNanos the mean time that a request occupies a slot, in nanoseconds
     * @return the requests per second, 0 without servers or if the time is not known
     */
    public double perSecond(double occupationNanos) {
        return occupationNanos > 0 ? (mSlots + mPacedInFlight) * 1e9 / occupationNanos : 0;
    }

    /**
     * Returns the part of the slots in use.
     *
     * @return 0 to 1; 0 without servers
     */
    public double slotsInUse() {
        return mSlots == 0 ? 0 : mSlotsInUse / mSlots;
    }

    /**
     * Returns the estimated number of requests that run or wait at the usable servers, relative to
     * their slots.
     *
     * @return at least 0, above 1 if requests wait
     */
    public double fullness() {
        return mSlots == 0 ? 0 : mInFlight / mSlots;
    }

    /**
     * Returns the slots of each region and the requests there.
     *
     * @return the capacity by region
     */
    public Map<RegionId, ServiceLoadView.RegionCapacity> byRegion() {
        Map<RegionId, ServiceLoadView.RegionCapacity> capacities = new HashMap<>();
        mByRegion.forEach(
                (region, sum) ->
                        capacities.put(
                                region,
                                new ServiceLoadView.RegionCapacity(sum.mSlots, sum.mInFlight)));
        return capacities;
    }
}
