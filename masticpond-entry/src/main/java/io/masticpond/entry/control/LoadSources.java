package io.masticpond.entry.control;

import io.masticpond.core.capacity.ServiceLoadSource;
import io.masticpond.core.capacity.ServiceLoadView;
import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.placement.RegionWeights;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Sources of the document on the load of services. Parts of load control that are not set are left
 * out of the document. Not thread-safe: the sources are set before the start, and read on the
 * traffic thread.
 *
 * @since 0.3
 */
public final class LoadSources {

    private final LoadControlActivation mActivation;
    private ServiceLoadSource mLoads = ServiceLoadSource.NONE;
    private ServiceSpeedSource mSpeeds = ServiceSpeedSource.NONE;
    private RegionWeights mWeights = RegionWeights.EQUAL;

    /**
     * Creates the sources without load, speed and weights.
     *
     * @param activation the rule that determines for which services load control is active
     */
    public LoadSources(LoadControlActivation activation) {
        mActivation = Assert.notNull(activation, "A rule of activation");
    }

    /**
     * Sets the source of the load.
     *
     * @param loads the source
     */
    public void setLoads(ServiceLoadSource loads) {
        mLoads = Assert.notNull(loads, "A source of the load");
    }

    /**
     * Sets the source of the speed of servers.
     *
     * @param speeds the source
     */
    public void setSpeeds(ServiceSpeedSource speeds) {
        mSpeeds = Assert.notNull(speeds, "A source of the speed");
    }

    /**
     * Sets the weights of the regions.
     *
     * @param weights the weights
     */
    public void setRegionWeights(RegionWeights weights) {
        mWeights = Assert.notNull(weights, "Weights of regions");
    }

    /** Takes a snapshot of each configured service, ordered by name. */
    List<ServiceLoadSnapshot> take(
            FleetSnapshot fleet,
            Function<RegisteredServer, Optional<RegionId>> regions,
            Function<ServiceId, ReachabilityState> reachability,
            long nowNanos) {
        Map<ServiceId, ServiceLoadView> loads =
                mLoads.views(nowNanos).stream()
                        .collect(Collectors.toMap(ServiceLoadView::service, each -> each));
        Map<ServiceId, ServiceSpeedView> speeds =
                mSpeeds.views(nowNanos).stream()
                        .collect(Collectors.toMap(ServiceSpeedView::service, each -> each));
        Set<ServiceId> services =
                fleet.routing().map(RoutingConfiguration::services).orElse(Map.of()).keySet();
        List<ServiceLoadSnapshot> snapshots = new ArrayList<>();
        services.stream()
                .sorted(Comparator.comparing(ServiceId::value))
                .forEach(
                        service ->
                                snapshots.add(
                                        new ServiceLoadSnapshot(
                                                service,
                                                mActivation.settings().mode(),
                                                mActivation.isActive(service, nowNanos),
                                                mActivation.reportAgeNanos(service, nowNanos),
                                                Optional.ofNullable(loads.get(service)),
                                                weights(fleet, service, regions, nowNanos),
                                                Optional.ofNullable(speeds.get(service)),
                                                reachability.apply(service))));
        return snapshots;
    }

    private Map<RegionId, Double> weights(
            FleetSnapshot fleet,
            ServiceId service,
            Function<RegisteredServer, Optional<RegionId>> regions,
            long nowNanos) {
        Map<RegionId, Double> weights = new HashMap<>();
        for (RegisteredServer server : fleet.servers().values()) {
            if (server.service().equals(service)) {
                regions.apply(server)
                        .ifPresent(
                                region ->
                                        weights.computeIfAbsent(
                                                region,
                                                id -> mWeights.factor(service, server, nowNanos)));
            }
        }
        return weights;
    }
}
