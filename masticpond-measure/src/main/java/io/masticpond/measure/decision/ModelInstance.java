package io.masticpond.measure.decision;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.AdmissionLimitSettings;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.limit.RetryBudgetSettings;
import io.masticpond.core.limit.SharedRetryBudget;
import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.PriorityLoadGate;
import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.core.placement.ServerTable;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulated instance with the product's own server table, request placement and retry budgets. A
 * restart is simulated by a new object.
 */
final class ModelInstance {

    private static final RetryBudgetSettings RETRY_BUDGET =
            new RetryBudgetSettings(0.2, 60, Duration.ofSeconds(10), 0.8);

    private final ZoneId mZone;
    private final ServerTable mServers;
    private final RequestPlacer mPlacer;
    private final Map<ServiceId, SharedRetryBudget> mRetryBudgets = new HashMap<>();
    private final long mStartNanos;
    private final int mInstanceCount;

    ModelInstance(
            ZoneId zone,
            Map<ZoneId, RegionId> regions,
            FleetSnapshot snapshot,
            DecisionVariant variant,
            int instanceCount,
            long seed,
            long nowNanos) {
        mZone = zone;
        mServers = new ServerTable(zone, regions);
        mPlacer =
                new RequestPlacer(
                        new ServerChooser(
                                variant.placement(),
                                new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT)),
                        new PriorityLoadGate(
                                AdmissionLimitSettings.DEFAULT,
                                RandomSource.XO_RO_SHI_RO_128_PP.create(seed)));
        mInstanceCount = instanceCount;
        mStartNanos = nowNanos;
        update(snapshot, nowNanos);
    }

    ZoneId zone() {
        return mZone;
    }

    ServerTable servers() {
        return mServers;
    }

    RequestPlacer placer() {
        return mPlacer;
    }

    void update(FleetSnapshot snapshot, long nowNanos) {
        mServers.update(snapshot, nowNanos);
        mPlacer.chooser().outlierDetector().retain(snapshot.servers().keySet());
    }

    void receive(List<LoadReport> reports, long nowNanos) {
        mPlacer.sharedLoads().receive(mServers, reports, nowNanos);
    }

    void recordFirstAttempt(ServiceId service, long nowNanos) {
        retryBudget(service).recordFirstAttempt(nowNanos);
    }

    boolean tryRetry(ServiceId service, long nowNanos) {
        return retryBudget(service).tryRetry(nowNanos, mInstanceCount);
    }

    private SharedRetryBudget retryBudget(ServiceId service) {
        return mRetryBudgets.computeIfAbsent(
                service, id -> new SharedRetryBudget(RETRY_BUDGET, mStartNanos));
    }
}
