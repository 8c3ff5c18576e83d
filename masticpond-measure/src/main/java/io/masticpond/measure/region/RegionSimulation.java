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

/**
 * Simulation of a deployment under load in virtual time, in which instances, backend servers and
 * links fail.
 */
final class RegionSimulation {

    private static final Duration TICK_PERIOD = Duration.ofMillis(50);
    private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(500);

    /** Mean service time at a backend server with a warm cache, in seconds. */
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
    private final SimulatedMembership mMembership;
    private final UniformRandomProvider mRandom;
    private final OutcomeCounts mCounts =
            new OutcomeCounts(Duration.ofMillis(Deployment.DEADLINE_MILLIS).toNanos());
    private final Map<BackendServerId, FakeServer> mServers = new LinkedHashMap<>();
    private final Map<InstanceId, FakeInstance> mInstances = new LinkedHashMap<>();
    private final FakeClients mClients;
    private boolean mMeasurementsStopped;
    private long mRequests;

    /**
     * Creates a running deployment without load.
     *
     * @param deployment the deployment
     * @param scope the scope of one admitter
     * @param serviceCount the number of services under load, taken from the start of the list
     * @param seed the seed of arrivals and service times
     */
    RegionSimulation(Deployment deployment, ShardScope scope, int serviceCount, long seed) {
        mDeployment = deployment;
        mServices = deployment.services().subList(0, serviceCount);
        mScope = scope;
        mConfiguration = deployment.configuration();
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mNetwork = new Network(mEvents, deployment, mConfiguration);
        mMembership = new SimulatedMembership(mNetwork, mConfiguration);
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
        updateMembershipViews();
        repeat(TICK_PERIOD, this::tick);
        repeat(HEARTBEAT_PERIOD, this::heartbeat);
        repeat(REPORT_PERIOD, this::reportServers);
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

    boolean servesService(BackendServerSpecification server, ServiceId service) {
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

    /**
     * Offers load until the end of the simulation, from each availability zone in proportion to its
     * slots.
     */
    void offer(double load) {
        for (ServiceId service : services()) {
            for (ZoneId zone : mDeployment.zones()) {
                int slots =
                        servers(zone::equals).stream()
                                .map(FakeServer::specification)
                                .filter(each -> servesService(each, service))
                                .mapToInt(BackendServerSpecification::slots)
                                .sum();
                double meanGap = MEAN_WORK_NANOS / (load * slots);
                new Arrivals(service, zone, meanGap).next();
            }
        }
    }

    void killInstance(InstanceId id) {
        mInstances.get(id).terminate();
        mMembership.terminated(id);
        mEvents.after(
                SimulatedMembership.TERMINATION_DETECTION_DELAY.toNanos(),
                this::updateMembershipViews);
    }

    void startInstance(InstanceId id) {
        Member member = mInstances.get(id).member();
        mInstances.put(id, new FakeInstance(this, member, mConfiguration));
        mMembership.started(id, mEvents.nanos());
        updateMembershipViews();
        mEvents.after(
                SimulatedMembership.START_DETECTION_DELAY.toNanos(), this::updateMembershipViews);
    }

    void killRegion(RegionId region) {
        servers(zone -> regionOf(zone).equals(region)).forEach(FakeServer::terminate);
        instancesIn(region).forEach(this::killInstance);
    }

    void restartRegionCold(RegionId region) {
        servers(zone -> regionOf(zone).equals(region)).forEach(FakeServer::startCold);
        instancesIn(region).forEach(this::startInstance);
        for (FakeServer server : servers(zone -> regionOf(zone).equals(region))) {
            sendSignal(server, BackendServerSignal.of(BackendServerSignal.Kind.STARTED));
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
        mMembership.cut(mEvents.nanos());
        mEvents.after(Network.PARTITION_DETECTION_DELAY.toNanos(), this::updateMembershipViews);
    }

    void heal() {
        mNetwork.heal();
        mEvents.after(
                SimulatedMembership.START_DETECTION_DELAY.toNanos(), this::updateMembershipViews);
    }

    /** Updates the membership view of every running instance. */
    private void updateMembershipViews() {
        List<Member> members = mInstances.values().stream().map(FakeInstance::member).toList();
        for (FakeInstance instance : mInstances.values()) {
            if (instance.isRunning()) {
                instance.updateView(mMembership.view(instance.member(), members, mEvents.nanos()));
            }
        }
    }

    private void tick() {
        for (FakeInstance instance : mInstances.values()) {
            if (instance.isRunning()) {
                instance.hosts().values().forEach(AdmitterHost::advance);
            }
        }
    }

    private void heartbeat() {
        for (FakeInstance from : mInstances.values()) {
            if (!from.isRunning()) {
                continue;
            }
            from.reconfigure();
            from.hosts()
                    .forEach(
                            (shard, host) -> {
                                if (from.directory().admitsHere(shard)) {
                                    sendHeadroom(from, shard, host);
                                }
                            });
        }
    }

    private void sendHeadroom(FakeInstance from, Shard shard, AdmitterHost host) {
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
            if (server.isRunning()) {
                sendSignal(
                        server,
                        new BackendServerSignal(
                                BackendServerSignal.Kind.HEALTHY, server.inFlight()));
            }
        }
    }

    private void sendSignal(FakeServer server, BackendServerSignal signal) {
        ZoneId zone = server.specification().zone();
        for (FakeInstance instance : mInstances.values()) {
            if (instance.isRunning()) {
                mNetwork.send(
                        zone,
                        instance.zone(),
                        () ->
                                new ArrayList<>(instance.hosts().values())
                                        .forEach(
                                                host ->
                                                        host.observe(
                                                                server.specification().id(),
                                                                signal)),
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

    /** Poisson arrivals of requests for one service from one availability zone. */
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
