package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Demand of the other instances by their last reports. */
final class DriverReports implements FleetDemand {

    private static final double VALIDITY_NANOS = 1.2e9;

    private final CapacityDriver mDriver;
    private final CapacityDriver.Instance mOwn;

    DriverReports(CapacityDriver driver, CapacityDriver.Instance own) {
        mDriver = driver;
        mOwn = own;
    }

    private List<CapacityDriver.Instance> others(long now) {
        return mDriver.mInstances.stream()
                .filter(each -> each != mOwn && now - each.mReportNanos < VALIDITY_NANOS)
                .toList();
    }

    @Override
    public Map<ZoneId, Demand> byZone(ServiceId service, int priority, long now) {
        Map<ZoneId, Demand> demands = new HashMap<>();
        for (CapacityDriver.Instance each :
                mDriver.mReportsStopped ? mDriver.mInstances : others(now)) {
            each.mReport.forEach(
                    (key, demand) -> {
                        if (key.priority() == priority) {
                            demands.merge(each.mZone, demand, Demand::plus);
                        }
                    });
        }
        return demands;
    }

    @Override
    public Map<WorkspaceHash, Demand> byWorkspaceInOwnZone(
            ServiceId service, int priority, long now) {
        Map<WorkspaceHash, Demand> demands = new HashMap<>();
        for (CapacityDriver.Instance each :
                mDriver.mReportsStopped ? mDriver.mInstances : others(now)) {
            if (each.mZone.equals(mOwn.mZone)) {
                each.mReport.forEach(
                        (key, demand) -> {
                            if (key.priority() == priority) {
                                demands.merge(key.workspace(), demand, Demand::plus);
                            }
                        });
            }
        }
        return demands;
    }

    @Override
    public int reportedInstances(long now) {
        return mDriver.mReportsStopped ? mDriver.mInstances.size() - 1 : others(now).size();
    }

    @Override
    public int sendingInstances() {
        return mDriver.mSendingInstances > 0
                ? mDriver.mSendingInstances
                : mDriver.mInstances.size();
    }

    @Override
    public long ageNanos(long now) {
        return mDriver.mInstances.stream()
                .filter(each -> each != mOwn)
                .mapToLong(each -> now - each.mReportNanos)
                .min()
                .orElse(Long.MAX_VALUE);
    }
}
