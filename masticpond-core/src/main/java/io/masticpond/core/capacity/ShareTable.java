package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/**
 * Shares of the callers of one service: the part of the requests of each group for which the
 * service has capacity. The part is the same at all instances of an availability zone, so the share
 * of an instance is proportional to its demand without a further message.
 *
 * @param parts the part of the requests of each group that is within its share, below 1; groups
 *     whose requests are all within their share are left out
 * @param urgent the priorities whose requests are all within their share, while requests of a less
 *     urgent one are not
 * @param shareByZone the requests per second that each availability zone may send
 * @param demandByZone the requests per second of each availability zone
 */
record ShareTable(
        Map<Group, Double> parts,
        Set<Integer> urgent,
        Map<ZoneId, Double> shareByZone,
        Map<ZoneId, Double> demandByZone) {

    /** Table before the first computation: all requests are within their share. */
    static final ShareTable EMPTY = new ShareTable(Map.of(), Set.of(), Map.of(), Map.of());

    /**
     * Age of the reports from which on they say nothing. It is the validity of a single report; the
     * table checks it as well, so that a source that keeps old reports cannot fix the shares.
     */
    private static final long REPORT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Relative difference of sums that is due to their rounding. */
    private static final double ROUNDING = 1e-9;

    /** Callers with one priority of one workspace. */
    record Group(int priority, WorkspaceHash workspace) {}

    /** Returns the part of the requests of a group that is within its share. */
    double part(Group group) {
        return parts.getOrDefault(group, 1.0);
    }

    /** Determines whether requests of a priority precede others that compete with them. */
    boolean isUrgent(int priority) {
        return urgent.contains(priority);
    }

    /** Returns the demand of all availability zones. */
    double demandPerSecond() {
        return sum(demandByZone);
    }

    /** Inputs of a computation that are the same for all priorities. */
    record Inputs(
            ServiceId service,
            ZoneId ownZone,
            FleetDemand fleet,
            ToDoubleFunction<WorkspaceHash> weight,
            long nowNanos) {

        private boolean hasReports() {
            return fleet.reportedInstances(nowNanos) > 0
                    && fleet.ageNanos(nowNanos) <= REPORT_VALIDITY_NANOS;
        }

        /**
         * Returns the part of the capacity that belongs to the instances whose demand is known. The
         * others are assumed to demand as much each, so that shares stay safe while reports are
         * missing.
         */
        private double knownPart() {
            int known = 1 + (hasReports() ? Math.max(0, fleet.reportedInstances(nowNanos)) : 0);
            return (double) known / Math.max(known, fleet.sendingInstances());
        }

        private Map<ZoneId, Double> byZone(int priority, double own) {
            Map<ZoneId, Double> demands = new HashMap<>();
            if (hasReports()) {
                fleet.byZone(service, priority, nowNanos)
                        .forEach((zone, demand) -> demands.put(zone, positive(demand)));
            }
            demands.merge(ownZone, own, Double::sum);
            return demands;
        }

        private Map<WorkspaceHash, Double> byWorkspace(
                int priority, Map<WorkspaceHash, Demand> own) {
            Map<WorkspaceHash, Double> demands = new HashMap<>();
            if (hasReports()) {
                fleet.byWorkspaceInOwnZone(service, priority, nowNanos)
                        .forEach((workspace, demand) -> demands.put(workspace, positive(demand)));
            }
            own.forEach(
                    (workspace, demand) ->
                            demands.merge(workspace, demand.perSecond(), Double::sum));
            return demands;
        }

        private static double positive(Demand demand) {
            return demand.perSecond() > 0 ? demand.perSecond() : 0;
        }
    }

    /**
     * Computes the shares. More urgent priorities receive capacity first; within a priority it is
     * divided between zones with equal weights, and within the own zone between workspaces.
     *
     * @param capacityPerSecond the requests per second that the service can process
     * @param own the own demand by priority and workspace
     * @param priorities the priorities that requests of this or other instances may have
     * @param inputs the other inputs
     * @return the shares
     */
    static ShareTable compute(
            double capacityPerSecond,
            Map<Integer, Map<WorkspaceHash, Demand>> own,
            Set<Integer> priorities,
            Inputs inputs) {
        Map<Integer, Map<WorkspaceHash, Demand>> all = new TreeMap<>(own);
        priorities.forEach(priority -> all.putIfAbsent(priority, Map.of()));
        Map<Group, Double> parts = new HashMap<>();
        Map<ZoneId, Double> shareByZone = new HashMap<>();
        Map<ZoneId, Double> demandByZone = new HashMap<>();
        Set<Integer> met = new HashSet<>();
        boolean isShort = false;
        double remaining = capacityPerSecond * inputs.knownPart();
        for (Map.Entry<Integer, Map<WorkspaceHash, Demand>> each : all.entrySet()) {
            int priority = each.getKey();
            double ownDemand =
                    each.getValue().values().stream().mapToDouble(Demand::perSecond).sum();
            Map<ZoneId, Double> zones = inputs.byZone(priority, ownDemand);
            Map<ZoneId, Double> zoneShares = FairShares.maxMin(remaining, zones, zone -> 1);
            double ownShare = zoneShares.get(inputs.ownZone());
            if (ownShare < zones.get(inputs.ownZone()) * (1 - ROUNDING)) {
                Map<WorkspaceHash, Double> workspaces =
                        inputs.byWorkspace(priority, each.getValue());
                addParts(priority, workspaces, ownShare, inputs, parts);
            }
            double demanded = sum(zones);
            if (demanded > remaining * (1 + ROUNDING)) {
                isShort = true;
            } else if (demanded > 0) {
                met.add(priority);
            }
            zones.forEach((zone, demand) -> demandByZone.merge(zone, demand, Double::sum));
            for (Map.Entry<ZoneId, Double> share : zoneShares.entrySet()) {
                shareByZone.merge(share.getKey(), share.getValue(), Double::sum);
                remaining -= share.getValue();
            }
        }
        return new ShareTable(parts, isShort ? met : Set.of(), shareByZone, demandByZone);
    }

    /** Divides the share of the own zone between its workspaces. */
    private static void addParts(
            int priority,
            Map<WorkspaceHash, Double> workspaces,
            double share,
            Inputs inputs,
            Map<Group, Double> parts) {
        FairShares.maxMin(share, workspaces, inputs.weight())
                .forEach(
                        (workspace, each) -> {
                            double demand = workspaces.get(workspace);
                            if (each < demand * (1 - ROUNDING)) {
                                parts.put(new Group(priority, workspace), each / demand);
                            }
                        });
    }

    private static double sum(Map<ZoneId, Double> values) {
        return values.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
