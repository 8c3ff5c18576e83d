package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceRules;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Builder of the control documents that need only the replica of the store. */
final class FleetDocuments {

    private final FleetSnapshot mSnapshot;
    private final Supplier<ObjectNode> mDocumentFactory;
    private final long mNowNanos;

    FleetDocuments(FleetSnapshot snapshot, Supplier<ObjectNode> documentFactory, long nowNanos) {
        mSnapshot = snapshot;
        mDocumentFactory = documentFactory;
        mNowNanos = nowNanos;
    }

    ObjectNode services() {
        ObjectNode document = mDocumentFactory.get();
        ArrayNode services = document.putArray("services");
        mSnapshot.routing().stream()
                .flatMap(routing -> routing.services().values().stream())
                .sorted(Comparator.comparing(rules -> rules.service().value()))
                .forEach(rules -> writeService(rules, services.addObject()));
        return document;
    }

    private void writeService(ServiceRules rules, ObjectNode node) {
        List<RegisteredServer> servers =
                mSnapshot.servers().values().stream()
                        .filter(server -> server.service().equals(rules.service()))
                        .toList();
        node.put("service", rules.service().value())
                .put("healthPath", rules.healthPath())
                .put("maximumConnections", rules.maximumConnections())
                .put("warmUpMillis", rules.warmUp().toMillis())
                .put("warmUpRate", rules.warmUpRate())
                .put("servers", servers.size())
                .put("usable", count(servers, this::isUsable))
                .put("cold", count(servers, server -> server.isCold(mNowNanos)))
                .put("leaving", count(servers, RegisteredServer::leaving))
                .put("usableSlots", slots(servers));
    }

    ObjectNode routes() {
        ObjectNode document = mDocumentFactory.get();
        mSnapshot
                .routing()
                .map(RoutingConfiguration::version)
                .ifPresent(version -> document.put("routingVersion", version));
        ArrayNode routes = document.putArray("routes");
        mSnapshot.routing().stream()
                .flatMap(routing -> routing.routes().stream())
                .sorted(Comparator.comparing(Route::host).thenComparing(Route::pathPrefix))
                .forEach(route -> writeRoute(route, routes.addObject()));
        return document;
    }

    private static void writeRoute(Route route, ObjectNode node) {
        node.put("route", route.id().value())
                .put("host", route.host())
                .put("pathPrefix", route.pathPrefix())
                .put("idempotent", route.idempotent())
                .put("timeoutMillis", route.timeout().toMillis())
                .put("targetMillis", route.targetLatency().toMillis())
                .put("priority", route.priority())
                .put("maximumAttempts", route.maximumAttempts())
                .put("affinity", route.affinity())
                .put("keyless", route.keyless());
        ArrayNode homes = node.putArray("homeRegions");
        route.homeRegions().stream().map(region -> region.value()).sorted().forEach(homes::add);
        ArrayNode services = node.putArray("services");
        route.services()
                .forEach(
                        each ->
                                services.addObject()
                                        .put("service", each.service().value())
                                        .put("weight", each.weight()));
    }

    ObjectNode evacuations() {
        ObjectNode document = mDocumentFactory.get();
        ArrayNode zones = document.putArray("evacuations");
        mSnapshot.evacuatedZones().stream()
                .sorted(Comparator.comparing(ZoneId::value))
                .forEach(
                        zone ->
                                zones.addObject()
                                        .put("zone", zone.value())
                                        .put(
                                                "servers",
                                                count(
                                                        mSnapshot.servers().values(),
                                                        server -> server.zone().equals(zone))));
        return document;
    }

    private boolean isUsable(RegisteredServer server) {
        return !server.leaving() && !mSnapshot.evacuatedZones().contains(server.zone());
    }

    private int slots(List<RegisteredServer> servers) {
        return servers.stream().filter(this::isUsable).mapToInt(RegisteredServer::slots).sum();
    }

    private static long count(
            Collection<RegisteredServer> servers, Predicate<RegisteredServer> predicate) {
        return servers.stream().filter(predicate).count();
    }
}
