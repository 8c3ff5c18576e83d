package io.masticpond.entry.wiring;

import io.masticpond.core.capacity.Demand;
import io.masticpond.core.capacity.DemandKey;
import io.masticpond.core.capacity.DemandTotals;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.placement.RegionWeights;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.core.room.LinkUsage;
import io.masticpond.core.room.RegionBalancer;
import io.masticpond.core.room.SlotOccupation;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LoadChange;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.Bounds;
import io.masticpond.entry.settings.EntrySettings;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Connection of the balancer of regions to its inputs: the demand of all instances, the servers,
 * the routes and the bytes sent to other regions. For the traffic thread only.
 */
@Singleton
final class RegionBalancing {

    /** Time between two updates, half of that between two steps. */
    private static final long UPDATE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RequestFlow mFlow;
    private final LoadControlActivation mActivation;
    private final DemandTotals mTotals;
    private final PeerView mPeers;
    private final PeerInstance mSelf;
    private final DecisionLog mLog;
    private final RegionBalancer mBalancer;
    private final LinkUsage mLinks = new LinkUsage();
    private SlotOccupation mOccupation = SlotOccupation.UNKNOWN;
    private double mRegionShift;
    private long mUpdatedNanos = Long.MIN_VALUE;

    @Inject
    RegionBalancing(
            RequestFlow flow,
            LoadControlActivation activation,
            DemandTotals totals,
            PeerView peers,
            PeerInstance self,
            EntrySettings settings,
            DecisionLog log) {
        mFlow = flow;
        mActivation = activation;
        mTotals = totals;
        mPeers = peers;
        mSelf = self;
        mLog = log;
        mBalancer = new RegionBalancer(settings.zones(), activation);
        mRegionShift = settings.bounds().regionShift();
    }

    /** Sets the source of the time that a request occupies a slot. */
    void setOccupation(SlotOccupation occupation) {
        mOccupation = Assert.notNull(occupation, "A source of occupation");
    }

    /** Applies other bounds. */
    void apply(Bounds bounds) {
        mRegionShift = bounds.regionShift();
    }

    /** Puts the factors into force. */
    void start() {
        mBalancer.setListener(
                (service, region, steps, utilization) ->
                        mLog.viewChanged(
                                new LoadChange.RegionWeight(service, region, steps, utilization)));
        mFlow.placer().chooser().setRegionWeights(mBalancer);
        mFlow.placer()
                .setTransferListener(
                        (server, requestBytes, answerBytes) ->
                                mFlow.servers()
                                        .region(server)
                                        .ifPresent(
                                                region ->
                                                        mLinks.record(
                                                                region,
                                                                requestBytes,
                                                                answerBytes)));
    }

    /** Updates the factors of all services, if due, with the demand at this instance. */
    void update(Map<DemandKey, Demand> own, long nowNanos) {
        Optional<RoutingConfiguration> routing = mFlow.state().snapshot().routing();
        boolean isDue = mUpdatedNanos == Long.MIN_VALUE || nowNanos - mUpdatedNanos >= UPDATE_NANOS;
        if (routing.isEmpty() || !isDue) {
            return;
        }
        mUpdatedNanos = nowNanos;
        mBalancer.retain(routing.get().services().keySet());
        mLinks.update(regionInstances(), mActivation.settings().regionLinkMegabits(), nowNanos);
        for (ServiceId service : routing.get().services().keySet()) {
            if (mActivation.isActive(service, nowNanos) || mBalancer.isTracked(service)) {
                RegionBalancer.Observation observation =
                        new RegionBalancer.Observation(
                                perSecondByZone(service, own, nowNanos),
                                mOccupation.nanos(service, nowNanos),
                                otherRegionWeight(service, routing.get()));
                mBalancer.update(
                        service,
                        observation,
                        mFlow.servers(),
                        mLinks.steps(),
                        mRegionShift,
                        nowNanos);
            }
        }
    }

    /** Returns the weights in force. */
    RegionWeights weights() {
        return mBalancer;
    }

    /** Returns the factors by service and region. */
    Map<ServiceId, Map<RegionId, Double>> factors() {
        return mBalancer.factors();
    }

    private int regionInstances() {
        return (int)
                mPeers.alive().stream()
                        .filter(instance -> instance.region().equals(mSelf.region()))
                        .count();
    }

    /**
     * Adds the demand at this instance to that of its zone. Without a report on the own zone, the
     * zone counts as one whose reports are missing.
     */
    private Map<ZoneId, Double> perSecondByZone(
            ServiceId service, Map<DemandKey, Demand> own, long nowNanos) {
        Map<ZoneId, Double> perSecond = mTotals.perSecondByZone(service, nowNanos);
        double ownPerSecond =
                own.entrySet().stream()
                        .filter(each -> each.getKey().service().equals(service))
                        .mapToDouble(each -> each.getValue().perSecond())
                        .sum();
        perSecond.computeIfPresent(mSelf.zone(), (zone, others) -> others + ownPerSecond);
        return perSecond;
    }

    /** Returns the mean weight of the routes to a service, which differ by the size of answers. */
    private double otherRegionWeight(ServiceId service, RoutingConfiguration routing) {
        ServerChooser chooser = mFlow.placer().chooser();
        return routing.routes().stream()
                .filter(route -> isFirstService(service, route))
                .mapToDouble(route -> chooser.otherRegionWeight(route.id()))
                .average()
                .orElse(1);
    }

    private static boolean isFirstService(ServiceId service, Route route) {
        return route.services().get(0).service().equals(service);
    }
}
