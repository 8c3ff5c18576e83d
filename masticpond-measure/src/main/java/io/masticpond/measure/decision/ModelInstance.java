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

/** What one instance knows and decides by, as the product has it; a restart makes another one. */
final class ModelInstance {

    private static final RetryBudgetSettings RETRIES =
            new RetryBudgetSettings(0.2, 60, Duration.ofSeconds(10), 0.8);

    private final ZoneId mZone;
    private final ServerTable mServers;
    private final RequestPlacer mPlacer;
    private final Map<ServiceId, SharedRetryBudget> mRetries = new HashMap<>();
    private final long mStartNanos;
    private final int mInstances;

    ModelInstance(
            ZoneId zone,
            Map<ZoneId, RegionId> regions,
            FleetSnapshot snapshot,
            DecisionVariant variant,
            int instances,
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
        mInstances = instances;
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

    void counted(ServiceId service, long nowNanos) {
        retries(service).firstAttempt(nowNanos);
    }

    boolean mayRetry(ServiceId service, long nowNanos) {
        return retries(service).tryRetry(nowNanos, mInstances);
    }

    private SharedRetryBudget retries(ServiceId service) {
        return mRetries.computeIfAbsent(service, id -> new SharedRetryBudget(RETRIES, mStartNanos));
    }
}
