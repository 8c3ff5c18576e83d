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
 * Three regions, one of them with few servers; clients, instances and backend servers of the sizes
 * that a customer states ({@link DecisionScenario}).
 */
final class DecisionSimulation {

    private static final int REGIONS = 3;
    private static final long REGION_UNIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long ZONE_NANOS = 900_000L;

    /** How long a bundle of loads waits and travels. */
    private static final long BUNDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(220);

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long LENGTH_NANOS = 24 * SECOND;

    private final VirtualTimeScheduler mClock = new VirtualTimeScheduler();
    private final UniformRandomProvider mRandom;
    private final DecisionScenario mShape;
    private final DecisionVariant mVariant;
    private final DecisionStatistics mTally = new DecisionStatistics();
    private final List<RequestKind> mKinds;
    private final List<ZoneId> mZones = new ArrayList<>();
    private final Map<ZoneId, RegionId> mRegions = new LinkedHashMap<>();
    private final Map<BackendServerId, ModelServer> mServers = new LinkedHashMap<>();
    private final Map<ZoneId, List<ModelInstance>> mInstances = new HashMap<>();
    private final Set<ZoneId> mEvacuated = new HashSet<>();
    private final double[] mMoved;
    private final int[] mMovedTo;
    private final long mSeed;
    private double mLoad = 1;
    private long mRevision;

    DecisionSimulation(
            DecisionScenario shape, DecisionVariant variant, LoadPattern pattern, long seed) {
        mShape = shape;
        mVariant = variant;
        mMoved = new double[shape.instances().length];
        mMovedTo = new int[shape.instances().length];
        mSeed = seed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mKinds = shape.kinds(pattern.objectMultiple());
        for (int zone = 0; zone < mShape.instances().length; zone++) {
            ZoneId id = new ZoneId("zone-" + zone);
            mZones.add(id);
            mRegions.put(id, new RegionId("region-" + zone % REGIONS));
        }
        shape.servers().forEach(this::addServers);
        startInstances();
        pattern.schedule(this);
        for (int zone = 0; zone < mShape.instances().length; zone++) {
            scheduleArrival(zone);
        }
    }

    private void addServers(ServerGroup shape) {
        for (int zone = 0; zone < shape.counts().length; zone++) {
            for (int each = 0; each < shape.counts()[zone]; each++) {
                String name = shape.service().value() + "-" + zone + "-" + each + "-" + mSeed;
                RegisteredServer server =
                        new RegisteredServer(
                                new BackendServerId(name),
                                shape.service(),
                                new ServerAddress("10.0.0.1", 1 + mServers.size()),
                                mZones.get(zone),
                                shape.slots(),
                                false,
                                0);
                mServers.put(server.id(), new ModelServer(mClock, mRandom, server, shape, mShape));
            }
        }
    }

    private void startInstances() {
        FleetSnapshot snapshot = snapshot();
        int number = 0;
        for (int zone = 0; zone < mShape.instances().length; zone++) {
            List<ModelInstance> instances = new ArrayList<>();
            for (int each = 0; each < mShape.instances()[zone]; each++) {
                ModelInstance instance =
                        new ModelInstance(
                                mZones.get(zone),
                                mRegions,
                                snapshot,
                                mVariant,
                                Arrays.stream(mShape.instances()).sum(),
                                mSeed + number++,
                                mClock.nowNanos());
                if (mVariant.sharesLoads()) {
                    share(instance);
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

    private void tellSnapshot() {
        FleetSnapshot snapshot = snapshot();
        mInstances.values().forEach(zone -> zone.forEach(i -> i.update(snapshot, now())));
    }

    DecisionStatistics run() {
        mClock.runUntil(LENGTH_NANOS + 4 * SECOND);
        return mTally;
    }

    void at(double second, Runnable action) {
        mClock.after((long) (second * SECOND) - now(), action);
    }

    void load(double times) {
        mLoad = times;
    }

    void shed(int shape, double part, double share) {
        chosen(mShape.servers().get(shape).service(), part).forEach(server -> server.shed(share));
    }

    void slow(double part, double times) {
        mShape.servers()
                .forEach(s -> chosen(s.service(), part).forEach(server -> server.slow(times)));
    }

    void kill(double part) {
        mShape.servers().forEach(s -> chosen(s.service(), part).forEach(ModelServer::terminate));
    }

    void kill(int shape, double part) {
        chosen(mShape.servers().get(shape).service(), part).forEach(ModelServer::terminate);
    }

    void removeTerminated() {
        mServers.values().removeIf(ModelServer::isTerminated);
        tellSnapshot();
    }

    void evacuate(int zone, boolean out) {
        boolean changed =
                out ? mEvacuated.add(mZones.get(zone)) : mEvacuated.remove(mZones.get(zone));
        if (changed) {
            tellSnapshot();
        }
    }

    void move(int zone, int toZone, double part) {
        mMoved[zone] = part;
        mMovedTo[zone] = toZone;
    }

    void stopInstances(long nanos) {
        mInstances.clear();
        mClock.after(nanos, this::startInstances);
    }

    /** Gives a part of the servers of a service, at least one, the same each time. */
    private List<ModelServer> chosen(ServiceId service, double part) {
        List<ModelServer> servers =
                mServers.values().stream()
                        .filter(server -> server.server().service().equals(service))
                        .toList();
        int count = Math.max(1, (int) Math.round(part * servers.size()));
        List<ModelServer> chosen = new ArrayList<>();
        for (int each = 0; each < count; each++) {
            chosen.add(servers.get(each * servers.size() / count));
        }
        return chosen;
    }

    private void scheduleArrival(int zone) {
        double perSecond = mShape.requestsPerSecond() / mZones.size() * mLoad;
        long pause = (long) (-Math.log(1 - mRandom.nextDouble()) / perSecond * SECOND);
        mClock.after(pause, () -> arrive(zone));
    }

    private void arrive(int zone) {
        if (now() > LENGTH_NANOS) {
            return;
        }
        int at = mRandom.nextDouble() < mMoved[zone] ? mMovedTo[zone] : zone;
        double drawn = mRandom.nextDouble();
        RequestKind kind = mKinds.get(mKinds.size() - 1);
        for (RequestKind each : mKinds) {
            if (drawn < each.share()) {
                kind = each;
                break;
            }
            drawn -= each.share();
        }
        String object = kind.name() + "-" + zone % REGIONS + "-" + mRandom.nextInt(kind.objects());
        new ModelRequest(this, kind, object, mZones.get(at)).begin();
        scheduleArrival(zone);
    }

    VirtualTimeScheduler clock() {
        return mClock;
    }

    DecisionStatistics statistics() {
        return mTally;
    }

    RegionId region(ZoneId zone) {
        return mRegions.get(zone);
    }

    /** Picks an instance for a client, as one that knows the addresses of its zone does. */
    Optional<ModelInstance> instance(ZoneId zone) {
        return Optional.ofNullable(mInstances.get(zone))
                .map(near -> near.get(mRandom.nextInt(near.size())));
    }

    /** Lets the other instances of a zone hear of loads, once a bundle has waited and travelled. */
    private void share(ModelInstance from) {
        from.placer()
                .sharedLoads()
                .setPendingListener(
                        () ->
                                mClock.after(
                                        BUNDLE_NANOS,
                                        () -> tell(from, from.placer().sharedLoads().take())));
    }

    private void tell(ModelInstance from, List<LoadReport> reports) {
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
                : mShape.regionMillis() * REGION_UNIT_NANOS;
    }

    private long now() {
        return mClock.nowNanos();
    }
}
