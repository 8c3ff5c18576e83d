package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.limit.RefusalCause;
import io.masticpond.core.limit.ServiceLoad;
import io.masticpond.core.placement.Candidates;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.routing.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Admission of the requests for one service while it is full.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 */
final class ServiceAdmission {

    /**
     * Time between two evaluations of all servers and shares. It is a small part of the time of a
     * request, and keeps the cost independent of the rate of requests.
     */
    private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time for which servers that a request may use are taken as those of the whole service. */
    private static final long OBSERVATION_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time for which a service is not full before it is logged as such. */
    private static final long FULL_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Part of the slots in use from which on demand is reported by workspace, and requests in
     * excess of the usual demand may be refused.
     */
    private static final double DETAIL_FULLNESS = 0.7;

    /** Part of the slots of a server that requests in excess of the usual demand leave free. */
    private static final double RESERVED_SLOTS = 1.0 / 3;

    /** Time without requests after which the state of a group is removed. */
    private static final long GROUP_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final ServiceId mService;
    private final CapacityGate.Context mContext;
    private final ServiceCapacity mCapacity;
    private final AnswerTimes mTimes = new AnswerTimes();
    private final Map<ShareTable.Group, CallerGroup> mGroups = new HashMap<>();
    private ShareTable mShares = ShareTable.EMPTY;
    private boolean mHasServers;
    private boolean mIsFull;
    private long mRefreshNanos;
    private long mUnrestrictedNanos;
    private long mFullNanos;
    private long mShareRefusals;
    private InstanceBaseline mBaseline = InstanceBaseline.EMPTY;
    private boolean mIsBaselineMet = true;

    ServiceAdmission(ServiceId service, CapacityGate.Context context) {
        mService = service;
        mContext = context;
        mCapacity = new ServiceCapacity(context.regions());
    }

    void arrived(Route route, Optional<WorkspaceId> workspace, long nowNanos) {
        mTimes.arrived(route, nowNanos);
        ShareTable.Group group =
                new ShareTable.Group(route.priority(), WorkspaceHash.of(workspace));
        mContext.meter().arrived(key(group), nowNanos);
        double equalPerSecond = mBaseline.perWeight() * mContext.weight(group.workspace());
        callers(group, workspace, nowNanos)
                .arrived(mShares.part(group), mBaseline.growth(), equalPerSecond, nowNanos);
    }

    void reported(ReportedLoad reported, long nowNanos) {
        mCapacity.reported(reported, nowNanos);
    }

    void answered(Route route, long nanos, boolean hasWaited) {
        mTimes.answered(route, nanos, hasWaited);
    }

    /**
     * Evaluates the servers and the shares, if this was not done recently. Servers that only
     * requests with home regions may use are taken from the list of all servers.
     */
    void observeServers(
            PlacementRequest request,
            List<ServerLoad> servers,
            List<ServerLoad> usable,
            Candidates candidates,
            long nowNanos) {
        if (mHasServers && nowNanos - mRefreshNanos < REFRESH_NANOS) {
            return;
        }
        if (request.route().homeRegions().isEmpty()) {
            mUnrestrictedNanos = nowNanos;
            refresh(usable, candidates::isPaced, nowNanos);
        } else if (!mHasServers || nowNanos - mUnrestrictedNanos > OBSERVATION_VALIDITY_NANOS) {
            Predicate<ServerLoad> isUsable =
                    load -> !load.server().leaving() && !load.isAvoided(nowNanos);
            refresh(servers.stream().filter(isUsable).toList(), candidates::isPaced, nowNanos);
        }
    }

    private void refresh(List<ServerLoad> usable, Predicate<ServerLoad> isPaced, long nowNanos) {
        mHasServers = true;
        mRefreshNanos = nowNanos;
        mCapacity.update(usable, isPaced, nowNanos);
        mGroups.values().removeIf(each -> nowNanos - each.arrivedNanos() > GROUP_IDLE_NANOS);
        mShares =
                ShareTable.compute(
                        perSecond(),
                        mContext.meter().of(mService, nowNanos),
                        mContext.priorities(),
                        new ShareTable.Inputs(
                                mService,
                                mContext.ownZone(),
                                mContext.fleet(),
                                mContext::weight,
                                nowNanos));
        updateBaseline(nowNanos);
        updateFull(nowNanos);
    }

    /**
     * Evaluates the usual demand of the groups. That of the own zone is estimated from the part of
     * the usual demand at this instance.
     */
    private void updateBaseline(long nowNanos) {
        List<InstanceBaseline.GroupDemand> groups = new ArrayList<>(mGroups.size());
        mGroups.forEach(
                (group, callers) ->
                        groups.add(
                                new InstanceBaseline.GroupDemand(
                                        callers.baselinePerSecond(nowNanos),
                                        mContext.meter().perSecond(key(group), nowNanos),
                                        mContext.weight(group.workspace()))));
        mBaseline = InstanceBaseline.of(groups);
        ZoneId ownZone = mContext.ownZone();
        double zoneBaseline =
                mShares.demandByZone().getOrDefault(ownZone, 0.0) * mBaseline.usualPart();
        mIsBaselineMet = zoneBaseline <= mShares.shareByZone().getOrDefault(ownZone, 0.0);
    }

    private double perSecond() {
        return mCapacity.perSecond(mTimes.occupationNanos());
    }

    /** Determines whether all slots are in use, so that admitting a request delays others. */
    boolean isWithoutFreeSlots() {
        return mTimes.occupationNanos() > 0
                && mCapacity.slotsInUse() >= mContext.activation().settings().fullness();
    }

    private boolean isFullNow() {
        double perSecond = perSecond();
        return isWithoutFreeSlots() || (perSecond > 0 && mShares.demandPerSecond() > perSecond);
    }

    private void updateFull(long nowNanos) {
        if (isFullNow()) {
            mFullNanos = nowNanos;
            setFull(true, nowNanos);
        } else if (nowNanos - mFullNanos > FULL_HOLD_NANOS) {
            setFull(false, nowNanos);
        }
    }

    private void setFull(boolean isFull, long nowNanos) {
        if (mIsFull != isFull) {
            mIsFull = isFull;
            mContext.listener().onFullnessChanged(view(nowNanos));
        }
    }

    /** Returns the mean time that a request occupies a slot, 0 if unknown. */
    long occupationNanos() {
        return (long) mTimes.occupationNanos();
    }

    DemandDetail detail() {
        return mIsFull || mCapacity.slotsInUse() >= DETAIL_FULLNESS
                ? DemandDetail.WORKSPACES
                : DemandDetail.TOTALS;
    }

    /**
     * Refuses a request in excess of the usual demand of its group if the slots are needed for that
     * of all groups. An occupied slot cannot be taken back, so some must stay free before the
     * service is full.
     */
    Optional<AdmissionDecision> refuseExcess(
            PlacementRequest request, ServerLoad chosen, long nowNanos) {
        ShareTable.Group group = group(request);
        CallerGroup callers = callers(group, request.workspace(), nowNanos);
        double occupation = mTimes.occupationNanos();
        if (callers.isWithinBaseline()
                || occupation == 0
                || mCapacity.slotsInUse() < DETAIL_FULLNESS
                || (!isWithoutFreeSlots() && hasSpareSlots(chosen, nowNanos))) {
            return Optional.empty();
        }
        mShareRefusals++;
        long wait = (long) occupation;
        long pause =
                callers.refused(
                        RefusalCause.EXCESS,
                        wait,
                        sharePerSecond(group, nowNanos),
                        request.leftNanos(),
                        nowNanos);
        return Optional.of(new AdmissionDecision(false, pause, wait, 0, RefusalCause.EXCESS));
    }

    /** Determines whether a server keeps slots for the usual demand if it takes a request. */
    private static boolean hasSpareSlots(ServerLoad server, long nowNanos) {
        int slots = server.server().slots();
        return server.inFlight(nowNanos) + 1 <= slots * (1 - RESERVED_SLOTS);
    }

    private double sharePerSecond(ShareTable.Group group, long nowNanos) {
        return mContext.meter().perSecond(key(group), nowNanos) * mShares.part(group);
    }

    /** Decides on a request while no slots are free. */
    Optional<AdmissionDecision> refuse(PlacementRequest request, ServerLoad chosen, long nowNanos) {
        ShareTable.Group group = group(request);
        CallerGroup callers = callers(group, request.workspace(), nowNanos);
        double occupation = mTimes.occupationNanos();
        long wait =
                new ServiceLoad(
                                chosen.server().slots(),
                                (int) Math.floor(chosen.inFlight(nowNanos)),
                                (long) occupation)
                        .expectedWaitNanos();
        double deadlinePart = mContext.settings().deadlinePart();
        long byDeadline = (long) (request.leftNanos() * deadlinePart - occupation);
        Standing standing = standing(group, callers);
        long limit =
                standing.limitNanos(
                        mTimes.waitInTimeNanos(nowNanos),
                        byDeadline,
                        mShares.relativePart(group),
                        mShares.advantage());
        if (wait == 0 || wait <= limit) {
            return Optional.empty();
        }
        RefusalCause cause =
                standing == Standing.BEYOND ? RefusalCause.SHARE : RefusalCause.OVERLOAD;
        mShareRefusals += standing == Standing.BEYOND ? 1 : 0;
        long excess = wait - Math.max(0, limit);
        long pause =
                callers.refused(
                        cause,
                        excess,
                        sharePerSecond(group, nowNanos),
                        request.leftNanos(),
                        nowNanos);
        return Optional.of(new AdmissionDecision(false, pause, wait, limit, cause));
    }

    private Standing standing(ShareTable.Group group, CallerGroup callers) {
        boolean isUsual = callers.isWithinBaseline() && mIsBaselineMet;
        if (mShares.part(group) < 1 && !isUsual) {
            return callers.hasCredit() ? Standing.WITHIN : Standing.BEYOND;
        }
        return mShares.isUrgent(group.priority()) ? Standing.URGENT : Standing.SATISFIED;
    }

    /** Records that a request was admitted, by this object or by the wrapped gate. */
    void admitted(PlacementRequest request, long nowNanos) {
        ShareTable.Group group = group(request);
        mContext.meter().admitted(key(group), nowNanos);
        callers(group, request.workspace(), nowNanos).admitted();
    }

    /** Records that the wrapped gate refused a request. */
    void refusedByWait(PlacementRequest request, long nowNanos) {
        callers(group(request), request.workspace(), nowNanos).refusedByWait(nowNanos);
    }

    /** Takes back a refusal, since another server took the request. */
    void withdrawRefusal(
            PlacementRequest request, RefusalCause cause, boolean isScheduled, long nowNanos) {
        mShareRefusals -= cause == RefusalCause.OVERLOAD ? 0 : 1;
        callers(group(request), request.workspace(), nowNanos)
                .withdrawRefusal(cause, isScheduled, nowNanos);
    }

    long shareRefusals() {
        return mShareRefusals;
    }

    ServiceLoadView view(long nowNanos) {
        List<ServiceLoadView.RefusalCount> refusals = new ArrayList<>();
        mGroups.forEach(
                (group, callers) -> callers.addRefusals(group.priority(), refusals, nowNanos));
        return new ServiceLoadView(
                mService,
                mContext.activation().isActive(mService, nowNanos),
                mIsFull,
                perSecond(),
                mCapacity.fullness(),
                (long) mTimes.occupationNanos(),
                mCapacity.byRegion(),
                mShares.demandByZone(),
                mShares.shareByZone(),
                mContext.fleet().ageNanos(nowNanos),
                refusals);
    }

    /** Returns the view after the state is brought up to date, also without requests. */
    ServiceLoadView currentView(long nowNanos) {
        if (nowNanos - mRefreshNanos > FULL_HOLD_NANOS) {
            setFull(false, nowNanos);
        }
        return view(nowNanos);
    }

    private static ShareTable.Group group(PlacementRequest request) {
        return new ShareTable.Group(
                request.route().priority(), WorkspaceHash.of(request.workspace()));
    }

    private DemandKey key(ShareTable.Group group) {
        return new DemandKey(mService, group.priority(), group.workspace());
    }

    private CallerGroup callers(
            ShareTable.Group group, Optional<WorkspaceId> workspace, long nowNanos) {
        return mGroups.computeIfAbsent(
                group,
                each ->
                        new CallerGroup(
                                workspace.map(WorkspaceId::value).orElse(""),
                                new ReturnSchedule(
                                        mContext.settings().minimumPause(),
                                        mContext.random(),
                                        nowNanos)));
    }
}
