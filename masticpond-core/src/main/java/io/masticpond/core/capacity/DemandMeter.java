package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.stream.Collectors;

/**
 * Meter of the requests that arrive and are admitted at this instance, over about the last second.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 *
 * @since 0.3
 */
public final class DemandMeter implements DemandSource {

    /** Maximum number of workspaces of a service that are reported separately. */
    static final int REPORTED_WORKSPACES = 20;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Rate below which a group is removed, about five seconds after its last request. */
    private static final double MINIMUM_PER_SECOND = 0.01;

    private final Map<ServiceId, Map<DemandKey, Rates>> mServices = new HashMap<>();
    private final BiFunction<ServiceId, Long, DemandDetail> mDetail;

    /**
     * Creates a meter without demand.
     *
     * @param detail determines for a service and a time in which detail its demand is reported
     */
    DemandMeter(BiFunction<ServiceId, Long, DemandDetail> detail) {
        mDetail = Assert.notNull(detail, "A rule for the detail of reports");
    }

    /** Counts a request that arrived; called once for each request. */
    void arrived(DemandKey key, long nowNanos) {
        rates(key).mArrived.add(nowNanos);
    }

    /** Counts a request that was admitted. */
    void admitted(DemandKey key, long nowNanos) {
        rates(key).mAdmitted.add(nowNanos);
    }

    /** Returns the requests per second of a group that arrive. */
    double perSecond(DemandKey key, long nowNanos) {
        Rates rates = mServices.getOrDefault(key.service(), Map.of()).get(key);
        return rates == null ? 0 : rates.mArrived.perSecond(nowNanos);
    }

    /** Returns the demand for a service by workspace, for each priority from the most urgent on. */
    Map<Integer, Map<WorkspaceHash, Demand>> of(ServiceId service, long nowNanos) {
        Map<DemandKey, Rates> groups = mServices.getOrDefault(service, Map.of());
        Map<Integer, Map<WorkspaceHash, Demand>> demands = new TreeMap<>();
        Iterator<Map.Entry<DemandKey, Rates>> entries = groups.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<DemandKey, Rates> each = entries.next();
            Demand demand = each.getValue().demand(nowNanos);
            if (demand.perSecond() < MINIMUM_PER_SECOND) {
                entries.remove();
                continue;
            }
            demands.computeIfAbsent(each.getKey().priority(), priority -> new HashMap<>())
                    .put(each.getKey().workspace(), demand);
        }
        return demands;
    }

    @Override
    public Map<DemandKey, Demand> demand(long nowNanos) {
        Map<DemandKey, Demand> reported = new HashMap<>();
        for (ServiceId service : mServices.keySet()) {
            DemandDetail detail = mDetail.apply(service, nowNanos);
            if (detail != DemandDetail.NONE) {
                addReport(service, detail, reported, nowNanos);
            }
        }
        return reported;
    }

    private void addReport(
            ServiceId service,
            DemandDetail detail,
            Map<DemandKey, Demand> reported,
            long nowNanos) {
        Map<Integer, Map<WorkspaceHash, Demand>> demands = of(service, nowNanos);
        Set<WorkspaceHash> listed = detail == DemandDetail.WORKSPACES ? largest(demands) : Set.of();
        demands.forEach(
                (priority, workspaces) ->
                        workspaces.forEach(
                                (workspace, demand) ->
                                        reported.merge(
                                                new DemandKey(
                                                        service,
                                                        priority,
                                                        listed.contains(workspace)
                                                                ? workspace
                                                                : WorkspaceHash.OTHERS),
                                                demand,
                                                Demand::plus)));
    }

    /** Returns the workspaces with the greatest demand over all priorities. */
    private static Set<WorkspaceHash> largest(Map<Integer, Map<WorkspaceHash, Demand>> demands) {
        Map<WorkspaceHash, Double> sums = new HashMap<>();
        for (Map<WorkspaceHash, Demand> workspaces : demands.values()) {
            workspaces.forEach(
                    (workspace, demand) -> sums.merge(workspace, demand.perSecond(), Double::sum));
        }
        if (sums.size() <= REPORTED_WORKSPACES) {
            return new HashSet<>(sums.keySet());
        }
        return sums.entrySet().stream()
                .sorted(
                        Map.Entry.<WorkspaceHash, Double>comparingByValue()
                                .reversed()
                                .thenComparing(Comparator.comparingInt(e -> e.getKey().value())))
                .limit(REPORTED_WORKSPACES)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Removes the state of services that are no longer configured. */
    void retain(Set<ServiceId> services) {
        mServices.keySet().retainAll(services);
    }

    private Rates rates(DemandKey key) {
        return mServices
                .computeIfAbsent(key.service(), service -> new HashMap<>())
                .computeIfAbsent(key, group -> new Rates());
    }

    /** Rates of one group. */
    private static final class Rates {

        private final DecayingRate mArrived = new DecayingRate(WINDOW_NANOS);
        private final DecayingRate mAdmitted = new DecayingRate(WINDOW_NANOS);

        Demand demand(long nowNanos) {
            return new Demand(mArrived.perSecond(nowNanos), mAdmitted.perSecond(nowNanos));
        }
    }
}
