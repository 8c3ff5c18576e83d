package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.ColdPacer;
import io.masticpond.core.limit.ColdPacerSettings;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.limit.RetryBudgetSettings;
import io.masticpond.core.limit.RetryBudgetUsage;
import io.masticpond.core.limit.SharedRetryBudget;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.entry.control.SharedLimitStatus;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.request.ColdGate;
import io.masticpond.entry.request.RetryAllowance;
import io.masticpond.entry.settings.Bounds;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The limits that all instances have in common, of which each enforces its share. For the traffic
 * thread only.
 */
final class SharedLimits implements ColdGate, RetryAllowance, SharedLimitStatus {

    private static final double RETRY_SAFETY = 0.8;

    private final InstanceId mSelf;
    private final PeerView mPeers;
    private final ColdPacer mPacer;
    private RetryBudgetSettings mRetrySettings;
    private final long mStartNanos;

    /**
     * Observes every number of shareholders, also before a service is first used, so that the
     * budget of a new service does not start with shares that instances spent before they left.
     */
    private final SharedRetryBudget mShareholderHistory;

    private final Map<ServiceId, SharedRetryBudget> mBudgets = new HashMap<>();
    private List<PeerInstance> mAlive = List.of();
    private List<OwnerCandidate> mCandidates = List.of();

    SharedLimits(
            InstanceId self,
            PeerView peers,
            Bounds bounds,
            Map<ZoneId, RegionId> regions,
            long startNanos) {
        mSelf = self;
        mPeers = peers;
        mPacer =
                new ColdPacer(
                        ColdPacerSettings.of(bounds.warmUpFactor(), bounds.coldSlack()),
                        zone -> Optional.ofNullable(regions.get(zone)));
        mRetrySettings = retrySettings(bounds, bounds.retryWindow());
        mStartNanos = startNanos;
        mShareholderHistory = new SharedRetryBudget(mRetrySettings, startNanos);
    }

    private static RetryBudgetSettings retrySettings(Bounds bounds, Duration window) {
        return new RetryBudgetSettings(
                bounds.retryRatio(), bounds.retrySlack(), window, RETRY_SAFETY);
    }

    /** Applies other bounds, except the window. Usage stays counted. */
    void apply(Bounds bounds) {
        mPacer.applySettings(ColdPacerSettings.of(bounds.warmUpFactor(), bounds.coldSlack()));
        mRetrySettings = retrySettings(bounds, mRetrySettings.window());
        mBudgets.values().forEach(budget -> budget.applySettings(mRetrySettings));
    }

    void update(FleetSnapshot snapshot, long nowNanos) {
        mPacer.update(snapshot.servers().values(), candidates(), nowNanos);
        mShareholderHistory.observe(nowNanos, mPeers.shareholders());
    }

    @Override
    public boolean isCold(RegisteredServer server, long nowNanos) {
        return mPacer.isCold(server, nowNanos);
    }

    @Override
    public boolean tryAcquire(RegisteredServer server, ServiceRules rules, long nowNanos) {
        return mPacer.tryAcquire(server, rules, candidates(), mSelf, nowNanos);
    }

    @Override
    public void recordFirstAttempt(ServiceId service, long nowNanos) {
        budget(service, nowNanos).recordFirstAttempt(nowNanos);
    }

    @Override
    public boolean tryRetry(ServiceId service, long nowNanos) {
        return budget(service, nowNanos).tryRetry(nowNanos, mPeers.shareholders());
    }

    @Override
    public double remainingRetries(ServiceId service, long nowNanos) {
        return budget(service, nowNanos).left(nowNanos, mPeers.shareholders());
    }

    @Override
    public Map<ServiceId, RetryBudgetUsage> budgets(long nowNanos) {
        Map<ServiceId, RetryBudgetUsage> usages = new HashMap<>();
        mBudgets.forEach(
                (service, budget) ->
                        usages.put(service, budget.usage(nowNanos, mPeers.shareholders())));
        return usages;
    }

    @Override
    public List<InstanceId> owners(RegisteredServer server, ServiceRules rules) {
        return mPacer.ownersOf(server, rules);
    }

    private SharedRetryBudget budget(ServiceId service, long nowNanos) {
        mShareholderHistory.observe(nowNanos, mPeers.shareholders());
        SharedRetryBudget budget = mBudgets.get(service);
        if (budget == null) {
            budget = new SharedRetryBudget(mRetrySettings, mStartNanos);
            budget.observe(nowNanos, mShareholderHistory.shareholders());
            mBudgets.put(service, budget);
        }
        return budget;
    }

    /** Returns the instances that are alive, as the same list object until they change. */
    List<OwnerCandidate> candidates() {
        List<PeerInstance> alive = mPeers.alive();
        if (alive != mAlive) {
            mAlive = alive;
            mCandidates =
                    alive.stream().map(peer -> new OwnerCandidate(peer.id(), peer.zone())).toList();
        }
        return mCandidates;
    }
}
