package io.masticpond.core.capacity;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.limit.AdmissionLimitSettings;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.placement.Candidates;
import io.masticpond.core.placement.LoadGate;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import io.masticpond.core.workspace.Workspace;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * {@link LoadGate} that divides the capacity of a full service fairly between its callers. While
 * slots of the service are free, or load control is not active for it, the wrapped gate decides.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 *
 * @since 0.3
 */
public final class CapacityGate implements LoadGate, ServiceLoadSource {

    private final LoadGate mWrapped;
    private final Context mContext;
    private final Map<ServiceId, ServiceAdmission> mServices = new HashMap<>();

    /**
     * Last refusal. A request that is refused at its first server is decided again for another one.
     */
    private Refusal mRefusal;

    /**
     * Creates a gate without reports of other instances.
     *
     * @param wrapped the gate that decides while a service is not full
     * @param activation determines for which services load control is active
     * @param ownZone the availability zone of this instance
     * @param regions the region of each availability zone
     * @param settings the settings of pauses and deadlines
     * @param random the source of randomness, which spreads the returns of clients
     */
    public CapacityGate(
            LoadGate wrapped,
            LoadControlActivation activation,
            ZoneId ownZone,
            Map<ZoneId, RegionId> regions,
            AdmissionLimitSettings settings,
            UniformRandomProvider random) {
        mWrapped = Assert.notNull(wrapped, "A load gate");
        mContext =
                new Context(
                        Assert.notNull(activation, "A rule of activation"),
                        Assert.notNull(ownZone, "The own zone"),
                        Map.copyOf(regions),
                        Assert.notNull(settings, "Settings of an admission limit"),
                        Assert.notNull(random, "A source of randomness"),
                        new DemandMeter(this::detail));
    }

    /**
     * Sets the source of the demand of the other instances.
     *
     * @param fleet the source
     */
    public void setFleetDemand(FleetDemand fleet) {
        mContext.mFleet = Assert.notNull(fleet, "The demand of the other instances");
    }

    /**
     * Sets the listener for services that become full.
     *
     * @param listener the listener
     */
    public void setListener(CapacityListener listener) {
        mContext.mListener = Assert.notNull(listener, "A listener");
    }

    /**
     * Returns the demand at this instance, which is reported to the others.
     *
     * @return the source
     */
    public DemandSource demandSource() {
        return mContext.meter();
    }

    /**
     * Returns the mean time that a request for a service occupies a slot, without the time that it
     * waits for the slot.
     *
     * @param service the service
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return nanoseconds, 0 if unknown or if load control is not active for the service
     */
    public long occupationNanos(ServiceId service, long nowNanos) {
        ServiceAdmission admission = mServices.get(service);
        return admission == null || !mContext.activation().isActive(service, nowNanos)
                ? 0
                : admission.occupationNanos();
    }

    /**
     * Returns the number of requests that were refused because their group had used up its share.
     *
     * @return the number for each service since the start, ordered by the name of the service
     */
    public Map<ServiceId, Long> shareRefusals() {
        Map<ServiceId, Long> refusals = new TreeMap<>(Comparator.comparing(ServiceId::value));
        mServices.forEach((service, admission) -> refusals.put(service, admission.shareRefusals()));
        return refusals;
    }

    @Override
    public List<ServiceLoadView> views(long nowNanos) {
        return mServices.values().stream()
                .map(admission -> admission.currentView(nowNanos))
                .sorted(Comparator.comparing(view -> view.service().value()))
                .toList();
    }

    @Override
    public void retain(RoutingConfiguration configuration) {
        mWrapped.retain(configuration);
        mServices.keySet().retainAll(configuration.services().keySet());
        mContext.meter().retain(configuration.services().keySet());
        mContext.apply(configuration);
    }

    @Override
    public void arrived(Route route, ServiceId service, long nowNanos) {
        arrived(route, service, Optional.empty(), nowNanos);
    }

    @Override
    public void arrived(
            Route route, ServiceId service, Optional<WorkspaceId> workspace, long nowNanos) {
        mWrapped.arrived(route, service, workspace, nowNanos);
        if (mContext.activation().isActive(service, nowNanos)) {
            admission(service).arrived(route, workspace, nowNanos);
        }
    }

    @Override
    public void observeServers(
            PlacementRequest request,
            List<ServerLoad> servers,
            List<ServerLoad> usable,
            Candidates candidates,
            long nowNanos) {
        mRefusal = null;
        mWrapped.observeServers(request, servers, usable, candidates, nowNanos);
        if (mContext.activation().isActive(request.service(), nowNanos)) {
            admission(request.service())
                    .observeServers(request, servers, usable, candidates, nowNanos);
        }
    }

    @Override
    public void reported(ServerLoad load, ReportedLoad reported, long nowNanos) {
        mWrapped.reported(load, reported, nowNanos);
        ServiceId service = load.server().service();
        if (mContext.activation().isActive(service, nowNanos)) {
            admission(service).reported(reported, nowNanos);
        }
    }

    @Override
    public void answered(
            Route route, ServiceId service, long nanos, boolean hasWaited, long nowNanos) {
        mWrapped.answered(route, service, nanos, hasWaited, nowNanos);
        if (mContext.activation().isActive(service, nowNanos)) {
            admission(service).answered(route, nanos, hasWaited);
        }
    }

    @Override
    public boolean admits(PlacementRequest request, double perSecond, long nowNanos) {
        return mWrapped.admits(request, perSecond, nowNanos);
    }

    @Override
    public long retryAfterNanos(PlacementRequest request, double perSecond, long nowNanos) {
        return mWrapped.retryAfterNanos(request, perSecond, nowNanos);
    }

    @Override
    public Optional<AdmissionDecision> refuse(
            PlacementRequest request, ServerLoad chosen, long nowNanos) {
        if (!mContext.activation().isActive(request.service(), nowNanos)) {
            return mWrapped.refuse(request, chosen, nowNanos);
        }
        ServiceAdmission admission = admission(request.service());
        boolean isFull = admission.isWithoutFreeSlots();
        Refusal first = mRefusal != null && mRefusal.request() == request ? mRefusal : null;
        if (first != null) {
            first.withdraw(admission, nowNanos);
        }
        Optional<AdmissionDecision> excess = admission.refuseExcess(request, chosen, nowNanos);
        if (excess.isPresent()) {
            mRefusal = new Refusal(request, excess.get(), true);
            return excess;
        }
        Optional<AdmissionDecision> decision =
                isFull
                        ? admission.refuse(request, chosen, nowNanos)
                        : mWrapped.refuse(request, chosen, nowNanos);
        if (decision.isEmpty()) {
            admission.admitted(request, nowNanos);
            mRefusal = null;
            return decision;
        }
        if (!isFull) {
            admission.refusedByWait(request, nowNanos);
        }
        mRefusal = new Refusal(request, decision.get(), isFull);
        return decision;
    }

    private DemandDetail detail(ServiceId service, long nowNanos) {
        ServiceAdmission admission = mServices.get(service);
        return admission == null || !mContext.activation().isActive(service, nowNanos)
                ? DemandDetail.NONE
                : admission.detail();
    }

    private ServiceAdmission admission(ServiceId service) {
        return mServices.computeIfAbsent(service, id -> new ServiceAdmission(id, mContext));
    }

    /** Refusal of a request at its first server. */
    private record Refusal(
            PlacementRequest request, AdmissionDecision decision, boolean isScheduled) {

        void withdraw(ServiceAdmission admission, long nowNanos) {
            admission.withdrawRefusal(request, decision.cause(), isScheduled, nowNanos);
        }
    }

    /** What the admissions of all services have in common. */
    static final class Context {

        private final LoadControlActivation mActivation;
        private final ZoneId mOwnZone;
        private final Map<ZoneId, RegionId> mRegions;
        private final AdmissionLimitSettings mSettings;
        private final UniformRandomProvider mRandom;
        private final DemandMeter mMeter;
        private final Map<WorkspaceHash, Double> mWeights = new HashMap<>();
        private Set<Integer> mPriorities = Set.of();
        private FleetDemand mFleet = FleetDemand.NONE;
        private CapacityListener mListener = CapacityListener.NONE;

        Context(
                LoadControlActivation activation,
                ZoneId ownZone,
                Map<ZoneId, RegionId> regions,
                AdmissionLimitSettings settings,
                UniformRandomProvider random,
                DemandMeter meter) {
            mActivation = activation;
            mOwnZone = ownZone;
            mRegions = regions;
            mSettings = settings;
            mRandom = random;
            mMeter = meter;
        }

        private void apply(RoutingConfiguration configuration) {
            mWeights.clear();
            Set<Integer> priorities = new TreeSet<>();
            configuration.routes().forEach(route -> priorities.add(route.priority()));
            configuration.workspaces().stream()
                    .flatMap(table -> table.all().stream())
                    .forEach(workspace -> apply(workspace, priorities));
            mPriorities = priorities;
        }

        private void apply(Workspace workspace, Set<Integer> priorities) {
            workspace.priority().ifPresent(priorities::add);
            mWeights.merge(
                    WorkspaceHash.of(Optional.of(workspace.id())), workspace.weight(), Double::sum);
        }

        LoadControlActivation activation() {
            return mActivation;
        }

        ZoneId ownZone() {
            return mOwnZone;
        }

        Map<ZoneId, RegionId> regions() {
            return mRegions;
        }

        AdmissionLimitSettings settings() {
            return mSettings;
        }

        UniformRandomProvider random() {
            return mRandom;
        }

        DemandMeter meter() {
            return mMeter;
        }

        FleetDemand fleet() {
            return mFleet;
        }

        CapacityListener listener() {
            return mListener;
        }

        /** Returns the priorities of all routes and workspaces that are configured. */
        Set<Integer> priorities() {
            return mPriorities;
        }

        double weight(WorkspaceHash workspace) {
            return mWeights.getOrDefault(workspace, 1.0);
        }
    }
}
