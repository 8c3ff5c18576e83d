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
 * @param highestPart the highest part of a group or zone with demand, above 0
 * @param advantage by how much the own zone is served better than the worst-served one, measured by
 *     the admitted requests relative to the shares, 0 to 1
 */
record ShareTable(
        Map<Group, Double> parts,
        Set<Integer> urgent,
        Map<ZoneId, Double> shareByZone,
        Map<ZoneId, Double> demandByZone,
        double highestPart,
        double advantage) {

    /** Table before the first computation: all requests are within their share. */
    static final ShareTable EMPTY = new ShareTable(Map.of(), Set.of(), Map.of(), Map.of(), 1, 0);

    /**
     * Age of the reports from which on they say nothing. It is the validity of a single report; the
     * table checks it as well, so that a source that keeps old reports cannot fix the shares.
     */
    private static final long REPORT_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    /** Relative difference of sums that is due to their rounding. */
    private static final double ROUNDING = 1e-9;

    /** Demand of a zone below which its admitted part is a matter of chance. */
    private static final double MINIMUM_PER_SECOND = 5;

    /** Callers with one priority of one workspace. */
    record Group(int priority, WorkspaceHash workspace) {

        /**
         * Explicit, since the generated implementation of a record is linked at its first use,
         * which would be during startup.
         */
        @Override
        public boolean equals(Object other) {
            return other instanceof Group that
                    && priority == that.priority
                    && workspace.equals(that.workspace);
        }

        @Override
        public int hashCode() {
            return 31 * priority + workspace.hashCode();
        }
    }

    /** Returns the part of the requests of a group that is within its share. */
    double part(Group group) {
        return parts.getOrDefault(group, 1.0);
    }

    /**
     * Returns the part of a group relative to the highest one. It does not depend on the capacity
     * if all groups demand more than their share, so a wrong capacity puts none of them at a
     * disadvantage.
     */
    double relativePart(Group group) {
        return highestPart > 0 ? Math.min(1, part(group) / highestPart) : 1;
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

        private Map<ZoneId, Demand> byZone(int priority, Demand own) {
            Map<ZoneId, Demand> demands = new HashMap<>();
            if (hasReports()) {
                demands.putAll(fleet.byZone(service, priority, nowNanos));
            }
            demands.merge(ownZone, own, Demand::plus);
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
        Map<ZoneId, Demand> totals = new HashMap<>();
        Set<Integer> met = new HashSet<>();
        boolean isShort = false;
        double highestPart = 0;
        double remaining = capacityPerSecond * inputs.knownPart();
        for (Map.Entry<Integer, Map<WorkspaceHash, Demand>> each : all.entrySet()) {
            int priority = each.getKey();
            Demand ownDemand = each.getValue().values().stream().reduce(Demand.NONE, Demand::plus);
            Map<ZoneId, Demand> zoneDemands = inputs.byZone(priority, ownDemand);
            zoneDemands.forEach((zone, demand) -> totals.merge(zone, demand, Demand::plus));
            Map<ZoneId, Double> zones = new HashMap<>();
            zoneDemands.forEach((zone, demand) -> zones.put(zone, Inputs.positive(demand)));
            Map<ZoneId, Double> zoneShares = FairShares.maxMin(remaining, zones, zone -> 1);
            double ownShare = zoneShares.get(inputs.ownZone());
            if (ownShare < zones.get(inputs.ownZone()) * (1 - ROUNDING)) {
                Map<WorkspaceHash, Double> workspaces =
                        inputs.byWorkspace(priority, each.getValue());
                highestPart =
                        Math.max(
                                highestPart,
                                addParts(priority, workspaces, ownShare, inputs, parts));
            }
            for (Map.Entry<ZoneId, Double> zone : zones.entrySet()) {
                if (zone.getValue() > 0) {
                    double part = zoneShares.get(zone.getKey()) / zone.getValue();
                    highestPart = Math.max(highestPart, part);
                }
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
        return new ShareTable(
                parts,
                isShort ? met : Set.of(),
                shareByZone,
                demandByZone,
                highestPart,
                advantage(totals, shareByZone, capacityPerSecond, inputs.ownZone()));
    }

    /**
     * Compares what is admitted relative to the shares. A zone that demands more than the whole
     * service can process is refused for its own demand, or its reports are wrong, so it restrains
     * no other zone.
     */
    private static double advantage(
            Map<ZoneId, Demand> demands,
            Map<ZoneId, Double> shares,
            double capacityPerSecond,
            ZoneId ownZone) {
        double own = admittedPart(demands.getOrDefault(ownZone, Demand.NONE), shares.get(ownZone));
        double worst = own;
        for (Map.Entry<ZoneId, Demand> each : demands.entrySet()) {
            double perSecond = each.getValue().perSecond();
            if (perSecond >= MINIMUM_PER_SECOND && perSecond <= capacityPerSecond) {
                double part = admittedPart(each.getValue(), shares.get(each.getKey()));
                worst = Math.min(worst, part);
            }
        }
        return own > 0 ? Math.max(0, 1 - worst / own) : 0;
    }

    /** Returns the admitted requests of a zone relative to its share. */
    private static double admittedPart(Demand demand, Double share) {
        return share != null && share > 0 ? Math.max(0, demand.admittedPerSecond()) / share : 1;
    }

    /** Divides the share of the own zone between its workspaces. */
    private static double addParts(
            int priority,
            Map<WorkspaceHash, Double> workspaces,
            double share,
            Inputs inputs,
            Map<Group, Double> parts) {
        double highest = 0;
        Map<WorkspaceHash, Double> shares = FairShares.maxMin(share, workspaces, inputs.weight());
        for (Map.Entry<WorkspaceHash, Double> each : shares.entrySet()) {
            double demand = workspaces.get(each.getKey());
            if (demand <= 0) {
                continue;
            }
            double part = each.getValue() / demand;
            highest = Math.max(highest, part);
            if (part < 1 - ROUNDING) {
                parts.put(new Group(priority, each.getKey()), part);
            }
        }
        return highest;
    }

    private static double sum(Map<ZoneId, Double> values) {
        return values.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
