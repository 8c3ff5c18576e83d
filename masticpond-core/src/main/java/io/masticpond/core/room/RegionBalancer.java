package io.masticpond.core.room;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.placement.RegionWeights;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Balancer that lowers the weights of full regions. Two numbers of steps follow from the loads
 * alone: those that bring the utilization below 0.7, and those that bring it below 0.55. A region
 * whose number is between them keeps it; otherwise it moves to the nearer one, by at most one step
 * of one region in 2 s. So instances with the same loads arrive at the same steps whatever they had
 * before, as soon as the demand has passed both thresholds.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class RegionBalancer implements RegionWeights {

    /**
     * Utilization above which a region is lowered. Keys are uneven: the busiest server of a service
     * has up to twice the mean load, so servers of a region queue long before all its slots are in
     * use.
     */
    static final double FULL = 0.7;

    /** Utilization below which the weight of a region rises again. */
    static final double FREE = 0.55;

    /** Excess over the mean utilization above which a region is lowered if all regions are full. */
    private static final double FULL_TOLERANCE = 0.1;

    /** Excess over the mean utilization below which the weight rises if all regions are full. */
    private static final double FREE_TOLERANCE = 0.02;

    private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The part of the requests that may move in 2 s which is left to steps. */
    private static final double STEP_SHARE = 1.0 / 3;

    /**
     * The same part while a service starts. Its servers have hardly any objects in their caches
     * then, so a key that moves costs nothing, and the demand may be at the crest of a wave.
     */
    private static final double STARTING_STEP_SHARE = 1.0 / 2;

    /** Time after the first demand for which a service counts as starting. */
    private static final long STARTING_NANOS = TimeUnit.SECONDS.toNanos(6);

    private final Map<ZoneId, RegionId> mRegions;
    private final LoadControlActivation mActivation;
    private final Map<ServiceId, State> mStates = new HashMap<>();

    /** Factors of the services of which a region is lowered. */
    private final Map<ServiceId, Map<RegionId, Double>> mFactors = new HashMap<>();

    private RegionWeightListener mListener = RegionWeightListener.NONE;

    /** Steps of the regions of a service. */
    private static final class State {

        private final ZoneDemandHistory mDemand = new ZoneDemandHistory();
        private final Map<RegionId, Integer> mSteps = new TreeMap<>();
        private boolean mIsInitialized;
        private long mStepNanos;
        private long mInitializedNanos;

        private boolean isStarting(long nowNanos) {
            return nowNanos - mInitializedNanos < STARTING_NANOS;
        }
    }

    /**
     * Creates a balancer with equal weights.
     *
     * @param regions the region of each zone
     * @param activation the rule that determines for which services weights are lowered
     */
    public RegionBalancer(Map<ZoneId, RegionId> regions, LoadControlActivation activation) {
        mRegions = Map.copyOf(regions);
        mActivation = Assert.notNull(activation, "A rule of activation");
    }

    /**
     * Sets the listener.
     *
     * @param listener the listener
     */
    public void setListener(RegionWeightListener listener) {
        mListener = Assert.notNull(listener, "A listener");
    }

    @Override
    public double factor(ServiceId service, RegisteredServer server, long nowNanos) {
        if (mFactors.isEmpty()) {
            return 1;
        }
        Map<RegionId, Double> factors = mFactors.get(service);
        RegionId region = factors == null ? null : mRegions.get(server.zone());
        return region == null ? 1 : factors.getOrDefault(region, 1.0);
    }

    /**
     * Inputs of an update that depend on the service.
     *
     * @param perSecondByZone the demand of each zone with valid reports, including that of this
     *     instance; empty without reports
     * @param occupationNanos the mean time that a request occupies a slot, 0 if unknown
     * @param otherRegionWeight the weight of a server of another region, relative to one of the
     *     caller's
     * @since 0.3
     */
    public record Observation(
            Map<ZoneId, Double> perSecondByZone, long occupationNanos, double otherRegionWeight) {}

    /**
     * Updates the steps of a service. To be called several times a second.
     *
     * @param service the service
     * @param observation the demand and the times of the service
     * @param table the servers
     * @param linkSteps the steps by which regions are lowered in addition, for their links
     * @param regionShift the maximum share of a region's requests that may change region in 2 s
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void update(
            ServiceId service,
            Observation observation,
            ServerTable table,
            Map<RegionId, Integer> linkSteps,
            double regionShift,
            long nowNanos) {
        State state = mStates.computeIfAbsent(service, id -> new State());
        state.mDemand.update(observation.perSecondByZone(), nowNanos);
        RegionRoom room =
                new RegionRoom(
                        RegionSlots.loads(
                                table, service, state.mDemand.byRegion(mRegions), nowNanos),
                        observation.occupationNanos() / (double) TimeUnit.SECONDS.toNanos(1),
                        observation.otherRegionWeight());
        boolean isActive = mActivation.isActive(service, nowNanos);
        // An inactive service needs no lowering, so its weights return to 1 step by step.
        double full = isActive ? FULL : Double.POSITIVE_INFINITY;
        double free = isActive ? FREE : Double.POSITIVE_INFINITY;
        Map<RegionId, Integer> least = room.steps(full, FULL_TOLERANCE);
        Map<RegionId, Integer> most = room.steps(free, FREE_TOLERANCE);
        if (isActive) {
            linkSteps.forEach(
                    (region, steps) -> {
                        least.computeIfPresent(region, (id, own) -> sum(own, steps));
                        most.computeIfPresent(region, (id, own) -> sum(own, steps));
                    });
        }
        if (!state.mIsInitialized) {
            initialize(state, observation, least, nowNanos);
        } else if (nowNanos - state.mStepNanos >= STEP_NANOS) {
            step(service, state, room, least, most, regionShift, nowNanos);
        }
        publish(service, state);
    }

    private static int sum(int own, int link) {
        return Math.min(RegionRoom.MAXIMUM_STEPS, own + link);
    }

    /** Starts at the steps that the other instances have already taken. */
    private static void initialize(
            State state, Observation observation, Map<RegionId, Integer> least, long nowNanos) {
        boolean isInformed =
                !observation.perSecondByZone().isEmpty() && observation.occupationNanos() > 0;
        if (isInformed) {
            state.mSteps.putAll(least);
            state.mStepNanos = nowNanos;
            state.mInitializedNanos = nowNanos;
            state.mIsInitialized = true;
        }
    }

    /**
     * Takes a step with the region that is farthest from its range, or several while the service
     * starts.
     */
    private void step(
            ServiceId service,
            State state,
            RegionRoom room,
            Map<RegionId, Integer> least,
            Map<RegionId, Integer> most,
            double regionShift,
            long nowNanos) {
        RegionId farthest = null;
        int greatest = 0;
        for (RegionId region : new TreeMap<>(least).keySet()) {
            int excess = excess(state, region, least, most);
            if (Math.abs(excess) > Math.abs(greatest)) {
                farthest = region;
                greatest = excess;
            }
        }
        if (farthest == null) {
            return;
        }
        double maximumShare =
                regionShift * (state.isStarting(nowNanos) ? STARTING_STEP_SHARE : STEP_SHARE);
        int maximumSteps = state.isStarting(nowNanos) ? Math.abs(greatest) : 1;
        Map<RegionId, Integer> steps = state.mSteps;
        for (int count = 1; count <= maximumSteps; count++) {
            Map<RegionId, Integer> next = new TreeMap<>(state.mSteps);
            next.merge(farthest, greatest > 0 ? -count : count, Integer::sum);
            if (room.movedShare(state.mSteps, next) > maximumShare) {
                break;
            }
            steps = next;
        }
        if (steps == state.mSteps) {
            return;
        }
        state.mSteps.putAll(steps);
        state.mStepNanos = nowNanos;
        mListener.onStep(
                service,
                farthest,
                steps.get(farthest),
                room.utilization(steps).getOrDefault(farthest, 0.0));
    }

    /** Returns by how many steps a region is lowered too much, negative if too little. */
    private static int excess(
            State state,
            RegionId region,
            Map<RegionId, Integer> least,
            Map<RegionId, Integer> most) {
        int steps = state.mSteps.getOrDefault(region, 0);
        int tooLittle = least.get(region) - steps;
        return tooLittle > 0 ? -tooLittle : Math.max(0, steps - most.get(region));
    }

    private void publish(ServiceId service, State state) {
        Map<RegionId, Double> factors = new HashMap<>();
        state.mSteps.forEach(
                (region, steps) -> {
                    if (steps > 0) {
                        factors.put(region, RegionRoom.factor(steps));
                    }
                });
        if (factors.isEmpty()) {
            mFactors.remove(service);
        } else {
            mFactors.put(service, factors);
        }
    }

    /**
     * Removes the state of services that are no longer configured.
     *
     * @param services the configured services
     */
    public void retain(Set<ServiceId> services) {
        mStates.keySet().retainAll(services);
        mFactors.keySet().retainAll(services);
    }

    /**
     * Determines whether a service was updated before, so that its weights may differ from 1.
     *
     * @param service the service
     * @return whether it must be updated further
     */
    public boolean isTracked(ServiceId service) {
        return mStates.containsKey(service);
    }

    /**
     * Returns the factors of all regions for which a step was ever computed.
     *
     * @return the factors by region and service, each above 0 and at most 1
     */
    public Map<ServiceId, Map<RegionId, Double>> factors() {
        Map<ServiceId, Map<RegionId, Double>> factors = new HashMap<>();
        mStates.forEach(
                (service, state) -> {
                    Map<RegionId, Double> regions = new TreeMap<>();
                    state.mSteps.forEach(
                            (region, steps) -> regions.put(region, RegionRoom.factor(steps)));
                    factors.put(service, regions);
                });
        return factors;
    }
}
