package io.masticpond.measure.decision;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.placement.LoadReport;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulation of clients, instances and backend servers in three regions, one of which has few
 * servers, for a {@link DecisionScenario}. Time is virtual.
 *
 * <p>Not thread-safe.
 */
final class DecisionSimulation {

    private static final int REGIONS = 3;
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long ZONE_NANOS = 900_000L;

    /** Time for which a batch of load reports waits and travels. */
    private static final long LOAD_REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(220);

    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long DURATION_NANOS = 24 * NANOS_PER_SECOND;

    private final VirtualTimeScheduler mClock = new VirtualTimeScheduler();
    private final UniformRandomProvider mRandom;
    private final DecisionScenario mScenario;
    private final DecisionVariant mVariant;
    private final DecisionStatistics mStatistics = new DecisionStatistics();
    private final List<RequestKind> mRequestKinds;
    private final List<ZoneId> mZones = new ArrayList<>();
    private final Map<ZoneId, RegionId> mRegions = new LinkedHashMap<>();
    private final Map<BackendServerId, ModelServer> mServers = new LinkedHashMap<>();
    private final Map<ZoneId, List<ModelInstance>> mInstances = new HashMap<>();
    private final Set<ZoneId> mEvacuated = new HashSet<>();
    private final double[] mMovedShares;
    private final int[] mMoveTargets;
    private final long mSeed;
    private double mLoadFactor = 1;
    private long mRevision;

    DecisionSimulation(
            DecisionScenario scenario, DecisionVariant variant, LoadPattern pattern, long seed) {
        mScenario = scenario;
        mVariant = variant;
        mMovedShares = new double[scenario.instancesPerZone().length];
        mMoveTargets = new int[scenario.instancesPerZone().length];
        mSeed = seed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mRequestKinds = scenario.requestKinds(pattern.objectMultiple());
        for (int zone = 0; zone < mScenario.instancesPerZone().length; zone++) {
            ZoneId id = new ZoneId("zone-" + zone);
            mZones.add(id);
            mRegions.put(id, new RegionId("region-" + zone % REGIONS));
        }
        scenario.serverGroups().forEach(this::addServers);
        startInstances();
        pattern.schedule(this);
        for (int zone = 0; zone < mScenario.instancesPerZone().length; zone++) {
            scheduleArrival(zone);
        }
    }

    private void addServers(ServerGroup group) {
        for (int zone = 0; zone < group.counts().length; zone++) {
            for (int each = 0; each < group.counts()[zone]; each++) {
                String name = group.service().value() + "-" + zone + "-" + each + "-" + mSeed;
                RegisteredServer server =
                        new RegisteredServer(
                                new BackendServerId(name),
                                group.service(),
                                new ServerAddress("10.0.0.1", 1 + mServers.size()),
                                mZones.get(zone),
                                group.slots(),
                                false,
                                0);
                mServers.put(
                        server.id(), new ModelServer(mClock, mRandom, server, group, mScenario));
            }
        }
    }

    private void startInstances() {
        FleetSnapshot snapshot = snapshot();
        int number = 0;
        for (int zone = 0; zone < mScenario.instancesPerZone().length; zone++) {
            List<ModelInstance> instances = new ArrayList<>();
            for (int each = 0; each < mScenario.instancesPerZone()[zone]; each++) {
                ModelInstance instance =
                        new ModelInstance(
                                mZones.get(zone),
                                mRegions,
                                snapshot,
                                mVariant,
                                Arrays.stream(mScenario.instancesPerZone()).sum(),
                                mSeed + number++,
                                mClock.nowNanos());
                if (mVariant.sharesLoads()) {
                    enableLoadSharing(instance);
                }
                instances.add(instance);
            }
            mInstances.put(mZones.get(zone), instances);
        }
    }

    private FleetSnapshot snapshot() {
        Map<BackendServerId, RegisteredServer> servers = new LinkedHashMap<>();
        mServers.forEach((id, server) -> servers.put(id, server.server()));
        return new FleetSnapshot(mRevision++, Optional.empty(), servers, mEvacuated);
    }

    private void distributeSnapshot() {
        FleetSnapshot snapshot = snapshot();
        mInstances
                .values()
                .forEach(zone -> zone.forEach(instance -> instance.update(snapshot, now())));
    }

    DecisionStatistics run() {
        mClock.runUntil(DURATION_NANOS + 4 * NANOS_PER_SECOND);
        return mStatistics;
    }

    void atSecond(double second, Runnable action) {
        mClock.after((long) (second * NANOS_PER_SECOND) - now(), action);
    }

    void setLoadFactor(double factor) {
        mLoadFactor = factor;
    }

    void shed(int groupIndex, double serverShare, double requestShare) {
        selectServers(mScenario.serverGroups().get(groupIndex).service(), serverShare)
                .forEach(server -> server.shed(requestShare));
    }

    void slowDown(double share, double factor) {
        mScenario
                .serverGroups()
                .forEach(
                        group ->
                                selectServers(group.service(), share)
                                        .forEach(server -> server.slowDown(factor)));
    }

    void terminateServers(double share) {
        mScenario
                .serverGroups()
                .forEach(
                        group ->
                                selectServers(group.service(), share)
                                        .forEach(ModelServer::terminate));
    }

    void terminateServers(int groupIndex, double share) {
        selectServers(mScenario.serverGroups().get(groupIndex).service(), share)
                .forEach(ModelServer::terminate);
    }

    void removeTerminated() {
        mServers.values().removeIf(ModelServer::isTerminated);
        distributeSnapshot();
    }

    void setEvacuated(int zone, boolean evacuated) {
        boolean changed =
                evacuated ? mEvacuated.add(mZones.get(zone)) : mEvacuated.remove(mZones.get(zone));
        if (changed) {
            distributeSnapshot();
        }
    }

    void moveClients(int zone, int toZone, double share) {
        mMovedShares[zone] = share;
        mMoveTargets[zone] = toZone;
    }

    void restartInstances(long downtimeNanos) {
        mInstances.clear();
        mClock.after(downtimeNanos, this::startInstances);
    }

    /**
     * Returns a share of the servers of a service, at least one, and the same servers each time.
     */
    private List<ModelServer> selectServers(ServiceId service, double share) {
        List<ModelServer> servers =
                mServers.values().stream()
                        .filter(server -> server.server().service().equals(service))
                        .toList();
        int count = Math.max(1, (int) Math.round(share * servers.size()));
        List<ModelServer> chosen = new ArrayList<>();
        for (int each = 0; each < count; each++) {
            chosen.add(servers.get(each * servers.size() / count));
        }
        return chosen;
    }

    private void scheduleArrival(int zone) {
        double perSecond = mScenario.requestsPerSecond() / mZones.size() * mLoadFactor;
        long pause = (long) (-Math.log(1 - mRandom.nextDouble()) / perSecond * NANOS_PER_SECOND);
        mClock.after(pause, () -> arrive(zone));
    }

    private void arrive(int zone) {
        if (now() > DURATION_NANOS) {
            return;
        }
        int clientZone = mRandom.nextDouble() < mMovedShares[zone] ? mMoveTargets[zone] : zone;
        double remaining = mRandom.nextDouble();
        RequestKind kind = mRequestKinds.get(mRequestKinds.size() - 1);
        for (RequestKind each : mRequestKinds) {
            if (remaining < each.share()) {
                kind = each;
                break;
            }
            remaining -= each.share();
        }
        String object = kind.name() + "-" + zone % REGIONS + "-" + mRandom.nextInt(kind.objects());
        new ModelRequest(this, kind, object, mZones.get(clientZone)).start();
        scheduleArrival(zone);
    }

    VirtualTimeScheduler clock() {
        return mClock;
    }

    DecisionStatistics statistics() {
        return mStatistics;
    }

    RegionId region(ZoneId zone) {
        return mRegions.get(zone);
    }

    /**
     * Returns a random instance of a zone, as a client that knows the addresses of its zone does.
     */
    Optional<ModelInstance> instance(ZoneId zone) {
        return Optional.ofNullable(mInstances.get(zone))
                .map(instances -> instances.get(mRandom.nextInt(instances.size())));
    }

    /**
     * Sends the load reports of an instance to the other instances of its zone, each batch after
     * {@link #LOAD_REPORT_DELAY_NANOS}.
     */
    private void enableLoadSharing(ModelInstance from) {
        from.placer()
                .sharedLoads()
                .setPendingListener(
                        () ->
                                mClock.after(
                                        LOAD_REPORT_DELAY_NANOS,
                                        () ->
                                                deliverLoadReports(
                                                        from, from.placer().sharedLoads().take())));
    }

    private void deliverLoadReports(ModelInstance from, List<LoadReport> reports) {
        for (ModelInstance each : mInstances.getOrDefault(from.zone(), List.of())) {
            if (each != from) {
                each.receive(reports, now());
            }
        }
    }

    DecisionVariant variant() {
        return mVariant;
    }

    boolean isAlive(ModelInstance instance) {
        return mInstances.getOrDefault(instance.zone(), List.of()).contains(instance);
    }

    ModelServer server(BackendServerId id) {
        return mServers.get(id);
    }

    long delayNanos(ZoneId from, ZoneId to) {
        if (from.equals(to)) {
            return ZONE_NANOS / 2;
        }
        return mRegions.get(from).equals(mRegions.get(to))
                ? ZONE_NANOS
                : mScenario.regionDelayMillis() * NANOS_PER_MILLI;
    }

    private long now() {
        return mClock.nowNanos();
    }
}
