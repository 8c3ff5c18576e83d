package io.masticpond.measure.region;

import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.region.ShardScope;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.RequestHead;
import io.masticpond.measure.support.Deployment;
import io.masticpond.measure.support.EventQueue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** A deployment under load in virtual time, in which instances, servers and links fail. */
final class RegionSimulation {

    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final Duration REPORT = Duration.ofMillis(500);

    /** The mean time that a backend server with a warm cache works on a request, in seconds. */
    static final double MEAN_WORK_SECONDS = 0.04;

    private static final double MEAN_WORK_NANOS = MEAN_WORK_SECONDS * 1e9;
    private static final double SIGMA = 1;
    private static final int PRIORITY = 5;

    private final EventQueue mEvents = new EventQueue();
    private final Deployment mDeployment;
    private final ShardScope mScope;
    private final List<ServiceId> mServices;
    private final Configuration mConfiguration;
    private final Network mNetwork;
    private final SimulatedMembership mSightings;
    private final UniformRandomProvider mRandom;
    private final OutcomeCounts mCounts =
            new OutcomeCounts(Duration.ofMillis(Deployment.DEADLINE_MILLIS).toNanos());
    private final Map<BackendServerId, FakeServer> mServers = new LinkedHashMap<>();
    private final Map<InstanceId, FakeInstance> mInstances = new LinkedHashMap<>();
    private final FakeClients mClients;
    private boolean mMeasurementsStopped;
    private long mRequests;

    /**
     * Starts a deployment without load.
     *
     * @param deployment the deployment
     * @param scope what one admitter admits to
     * @param serviceCount how many services get load, the first ones
     * @param seed the seed of arrivals and work
     */
    RegionSimulation(Deployment deployment, ShardScope scope, int serviceCount, long seed) {
        mDeployment = deployment;
        mServices = deployment.services().subList(0, serviceCount);
        mScope = scope;
        mConfiguration = deployment.configuration();
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mNetwork = new Network(mEvents, deployment, mConfiguration);
        mSightings = new SimulatedMembership(mNetwork, mConfiguration);
        for (ServiceSpecification service : mConfiguration.content().services()) {
            for (BackendServerSpecification server : service.backendServers()) {
                FakeServer fake = new FakeServer(server, mEvents);
                fake.warm(regionOf(server.zone()));
                mServers.put(server.id(), fake);
            }
        }
        for (Member member : deployment.members()) {
            mInstances.put(member.id(), new FakeInstance(this, member, mConfiguration));
        }
        mClients = new FakeClients(this, deployment.zones(), mRandom);
        lookAround();
        repeat(TICK, this::tick);
        repeat(HEARTBEAT, this::heartbeat);
        repeat(REPORT, this::reportServers);
    }

    EventQueue events() {
        return mEvents;
    }

    Network network() {
        return mNetwork;
    }

    ShardScope scope() {
        return mScope;
    }

    OutcomeCounts counts() {
        return mCounts;
    }

    List<ServiceId> services() {
        return mServices;
    }

    FakeServer server(BackendServerId id) {
        return mServers.get(id);
    }

    List<FakeServer> servers(Predicate<ZoneId> zones) {
        return mServers.values().stream()
                .filter(server -> zones.test(server.specification().zone()))
                .toList();
    }

    boolean isServer(BackendServerSpecification server, ServiceId service) {
        return mConfiguration.service(service).orElseThrow().backendServers().contains(server);
    }

    FakeInstance instance(InstanceId id) {
        return mInstances.get(id);
    }

    List<FakeInstance> instances() {
        return List.copyOf(mInstances.values());
    }

    RegionId regionOf(ZoneId zone) {
        return mConfiguration.regionOf(zone).orElseThrow();
    }

    boolean measurementsStopped() {
        return mMeasurementsStopped;
    }

    void stopMeasurements() {
        mMeasurementsStopped = true;
    }

    /** Offers load for as long as the world runs, from each zone in the measure of its slots. */
    void offer(double load) {
        for (ServiceId service : services()) {
            for (ZoneId zone : mDeployment.zones()) {
                int slots =
                        servers(zone::equals).stream()
                                .map(FakeServer::specification)
                                .filter(each -> isServer(each, service))
                                .mapToInt(BackendServerSpecification::slots)
                                .sum();
                double meanGap = MEAN_WORK_NANOS / (load * slots);
                new Arrivals(service, zone, meanGap).next();
            }
        }
    }

    void killInstance(InstanceId id) {
        mInstances.get(id).terminate();
        mSightings.terminated(id);
        mEvents.after(SimulatedMembership.TERMINATION_DETECTION_DELAY.toNanos(), this::lookAround);
    }

    void startInstance(InstanceId id) {
        Member member = mInstances.get(id).member();
        mInstances.put(id, new FakeInstance(this, member, mConfiguration));
        mSightings.started(id, mEvents.nanos());
        lookAround();
        mEvents.after(SimulatedMembership.START_DETECTION_DELAY.toNanos(), this::lookAround);
    }

    void killRegion(RegionId region) {
        servers(zone -> regionOf(zone).equals(region)).forEach(FakeServer::terminate);
        instancesIn(region).forEach(this::killInstance);
    }

    void returnRegionCold(RegionId region) {
        servers(zone -> regionOf(zone).equals(region)).forEach(FakeServer::startCold);
        instancesIn(region).forEach(this::startInstance);
        for (FakeServer server : servers(zone -> regionOf(zone).equals(region))) {
            tell(server, BackendServerSignal.of(BackendServerSignal.Kind.STARTED));
        }
    }

    List<InstanceId> instancesIn(RegionId region) {
        return mInstances.values().stream()
                .filter(instance -> regionOf(instance.zone()).equals(region))
                .map(FakeInstance::id)
                .toList();
    }

    void cutOff(ZoneId zone) {
        mNetwork.cutOff(zone);
        mSightings.cut(mEvents.nanos());
        mEvents.after(Network.PARTITION_DETECTION_DELAY.toNanos(), this::lookAround);
    }

    void heal() {
        mNetwork.heal();
        mEvents.after(SimulatedMembership.START_DETECTION_DELAY.toNanos(), this::lookAround);
    }

    /** Gives every instance the members as it sees them now. */
    private void lookAround() {
        List<Member> members = mInstances.values().stream().map(FakeInstance::member).toList();
        for (FakeInstance instance : mInstances.values()) {
            if (instance.isAlive()) {
                instance.see(mSightings.view(instance.member(), members, mEvents.nanos()));
            }
        }
    }

    private void tick() {
        for (FakeInstance instance : mInstances.values()) {
            if (instance.isAlive()) {
                instance.hosts().values().forEach(AdmitterHost::advance);
            }
        }
    }

    private void heartbeat() {
        for (FakeInstance from : mInstances.values()) {
            if (!from.isAlive()) {
                continue;
            }
            from.reconfigure();
            from.hosts()
                    .forEach(
                            (shard, host) -> {
                                if (from.directory().admitsHere(shard)) {
                                    tellAll(from, shard, host);
                                }
                            });
        }
    }

    private void tellAll(FakeInstance from, Shard shard, AdmitterHost host) {
        Headroom headroom = host.headroom();
        for (FakeInstance to : mInstances.values()) {
            mNetwork.send(from.zone(), to.zone(), () -> to.observe(shard, headroom), () -> {});
        }
    }

    private void reportServers() {
        if (mMeasurementsStopped) {
            return;
        }
        for (FakeServer server : mServers.values()) {
            if (server.isAlive()) {
                tell(
                        server,
                        new BackendServerSignal(
                                BackendServerSignal.Kind.HEALTHY, server.inFlight()));
            }
        }
    }

    private void tell(FakeServer server, BackendServerSignal sign) {
        ZoneId zone = server.specification().zone();
        for (FakeInstance instance : mInstances.values()) {
            if (instance.isAlive()) {
                mNetwork.send(
                        zone,
                        instance.zone(),
                        () ->
                                new ArrayList<>(instance.hosts().values())
                                        .forEach(
                                                host ->
                                                        host.observe(
                                                                server.specification().id(), sign)),
                        () -> {});
            }
        }
    }

    private void repeat(Duration period, Runnable action) {
        mEvents.after(
                period.toNanos(),
                () -> {
                    action.run();
                    repeat(period, action);
                });
    }

    /** Requests of one service from one zone, at random. */
    private final class Arrivals {

        private final ServiceId mService;
        private final ZoneId mZone;
        private final double mMeanGapNanos;
        private final SharedStateContinuousSampler mWork =
                LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(mRandom),
                        Math.log(MEAN_WORK_NANOS) - SIGMA * SIGMA / 2,
                        SIGMA);
        private final ZigguratSampler.Exponential mGaps = ZigguratSampler.Exponential.of(mRandom);

        Arrivals(ServiceId service, ZoneId zone, double meanGapNanos) {
            mService = service;
            mZone = zone;
            mMeanGapNanos = meanGapNanos;
        }

        void next() {
            mEvents.after(
                    (long) (mGaps.sample() * mMeanGapNanos),
                    () -> {
                        arrive();
                        next();
                    });
        }

        private void arrive() {
            RequestHead head =
                    new RequestHead(
                            new RequestId("r" + mRequests++),
                            mService,
                            mEvents.nanos()
                                    + Duration.ofMillis(Deployment.DEADLINE_MILLIS).toNanos(),
                            PRIORITY,
                            OperationKind.READ);
            EntryRequest request =
                    new EntryRequest(head, mZone, regionOf(mZone), (long) mWork.sample());
            Optional<FakeInstance> entry = mClients.entry(mZone);
            if (entry.isEmpty()) {
                mCounts.ended(request, Outcome.REFUSED, mEvents.nanos());
                return;
            }
            new EntryFlow(RegionSimulation.this, entry.get(), request).start();
        }
    }
}
