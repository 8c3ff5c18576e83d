package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.capacity.ServiceLoadView;
import io.masticpond.core.capacity.ServiceLoadView.RefusalCount;
import io.masticpond.core.capacity.ServiceLoadView.RegionCapacity;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writer of the JSON document on the load of a service. Ages are those at the time of the snapshot.
 */
final class LoadDocument {

    private LoadDocument() {}

    /**
     * Writes the load of a service.
     *
     * @param snapshot the snapshot
     * @param ownZone the availability zone of this instance, which is that of the refused callers
     * @param node the node to write to
     */
    static void write(ServiceLoadSnapshot snapshot, ZoneId ownZone, ObjectNode node) {
        node.put("service", snapshot.service().value())
                .put("mode", JsonFormat.toName(snapshot.mode()))
                .put("active", snapshot.active())
                .put("reason", snapshot.reason())
                .put("reachability", JsonFormat.toName(snapshot.reachability()));
        snapshot.reportAgeNanos()
                .ifPresent(nanos -> node.put("reportAgeMillis", JsonFormat.millis(nanos)));
        snapshot.load().ifPresent(load -> writeLoad(load, ownZone, node));
        writeRegions(snapshot, node.putArray("regions"));
        snapshot.speed().ifPresent(speed -> writeSpeed(speed, node));
    }

    private static void writeLoad(ServiceLoadView load, ZoneId ownZone, ObjectNode node) {
        node.put("full", load.full())
                .put("fullness", JsonFormat.rounded(load.fullness()))
                .put("capacityPerSecond", JsonFormat.rounded(load.capacityPerSecond()))
                .put("occupationMillis", JsonFormat.millis(load.occupationNanos()));
        if (load.demandAgeNanos() != Long.MAX_VALUE) {
            node.put("demandAgeMillis", JsonFormat.millis(load.demandAgeNanos()));
        }
        TreeMap<String, ZoneId> zones = new TreeMap<>();
        load.demandByZone().keySet().forEach(zone -> zones.put(zone.value(), zone));
        load.shareByZone().keySet().forEach(zone -> zones.put(zone.value(), zone));
        ArrayNode zoneNodes = node.putArray("zones");
        zones.forEach((name, zone) -> writeZone(load, zone, zoneNodes.addObject()));
        ArrayNode refusals = node.putArray("refusals");
        load.refusals().stream()
                .sorted(Comparator.comparingLong(RefusalCount::count).reversed())
                .forEach(each -> writeRefusal(each, ownZone, refusals.addObject()));
    }

    private static void writeZone(ServiceLoadView load, ZoneId zone, ObjectNode node) {
        node.put("zone", zone.value());
        putIfKnown(node, "demandPerSecond", load.demandByZone().get(zone));
        putIfKnown(node, "sharePerSecond", load.shareByZone().get(zone));
    }

    private static void putIfKnown(ObjectNode node, String name, Double value) {
        if (value != null) {
            node.put(name, JsonFormat.rounded(value));
        }
    }

    private static void writeRefusal(RefusalCount refusal, ZoneId ownZone, ObjectNode node) {
        node.put("cause", refusal.cause())
                .put("priority", refusal.priority())
                .put("zone", ownZone.value());
        if (!refusal.workspace().isEmpty()) {
            node.put("workspace", refusal.workspace());
        }
        node.put("count", refusal.count());
    }

    private static void writeRegions(ServiceLoadSnapshot snapshot, ArrayNode nodes) {
        Map<RegionId, RegionCapacity> capacities =
                snapshot.load().map(ServiceLoadView::regions).orElse(Map.of());
        TreeMap<String, RegionId> regions = new TreeMap<>();
        capacities.keySet().forEach(region -> regions.put(region.value(), region));
        snapshot.weights().keySet().forEach(region -> regions.put(region.value(), region));
        regions.forEach(
                (name, region) -> {
                    ObjectNode node = nodes.addObject().put("region", name);
                    RegionCapacity capacity = capacities.get(region);
                    if (capacity != null) {
                        double free = Math.max(0, capacity.slots() - capacity.inFlight());
                        node.put("slots", capacity.slots())
                                .put("inFlight", JsonFormat.rounded(capacity.inFlight()))
                                .put("free", JsonFormat.rounded(free));
                    }
                    putIfKnown(node, "weight", snapshot.weights().get(region));
                });
    }

    private static void writeSpeed(ServiceSpeedView speed, ObjectNode node) {
        node.put("speedPersistenceMillis", JsonFormat.millis(speed.persistenceNanos()));
        ArrayNode slow = node.putArray("slowServers");
        speed.slowServers()
                .forEach(
                        each ->
                                slow.addObject()
                                        .put("server", each.server().value())
                                        .put("slowdown", JsonFormat.rounded(each.slowdown()))
                                        .put("ageMillis", JsonFormat.millis(each.ageNanos())));
    }
}
