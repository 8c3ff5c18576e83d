package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.crash.CrashView;
import io.masticpond.core.fleet.StoreRevision;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.RetryBudgetUsage;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.entry.log.RecentDecisions;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerMember;
import io.masticpond.entry.replica.Category;
import io.masticpond.entry.replica.CategoryStatus;
import io.masticpond.entry.replica.ReplicaStatus;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.Optional;
import java.util.TreeMap;

/** Builder of the control documents of one point in time. For the control thread only. */
final class ControlDocuments {

    private static final int MAXIMUM_PROBLEMS = 20;
    private static final int DEFAULT_VIEW_CHANGES = 50;

    private final ControlSources mSources;
    private final TrafficSnapshot mTraffic;
    private final long mNowNanos;

    /**
     * Creates a builder.
     *
     * @param sources the components to read
     * @param traffic the snapshot of the traffic thread, or null for documents that don't need it
     */
    ControlDocuments(ControlSources sources, TrafficSnapshot traffic) {
        mSources = sources;
        mTraffic = traffic;
        mNowNanos = sources.timeSource().monotonicNanos();
    }

    FleetDocuments fleet() {
        return new FleetDocuments(mSources.replica().snapshot(), this::newDocument, mNowNanos);
    }

    ObjectNode status() {
        PeerInstance self = mSources.self();
        ReplicaStatus replica = mSources.replica().status();
        ObjectNode document = newDocument();
        document.put("incarnation", self.incarnation());
        document.put("zone", self.zone().value());
        document.put("region", self.region().value());
        document.put("ready", mSources.ready().getAsBoolean());
        document.put("stopping", mSources.stopping().getAsBoolean());
        mSources.replica()
                .snapshot()
                .routing()
                .map(RoutingConfiguration::version)
                .ifPresent(version -> document.put("routingVersion", version));
        age(replica, Category.ROUTING)
                .ifPresent(millis -> document.put("routingAgeMillis", millis));
        document.put("registryRevision", StoreRevision.revision(mSources.replica().revision()));
        document.put("storeEra", StoreRevision.era(mSources.replica().revision()));
        age(replica, Category.BACKEND_SERVERS)
                .ifPresent(millis -> document.put("registryAgeMillis", millis));
        document.put("usable", replica.usable());
        document.put("storeLost", replica.storeLost());
        document.put("storeStateMillis", replica.storeStateAge().toMillis());
        document.put("unconfirmedServers", replica.unconfirmedServers());
        ArrayNode unreadable = document.putArray("unreadableParts");
        mSources.replica().snapshot().routing().stream()
                .flatMap(routing -> routing.unreadable().problems().stream())
                .limit(MAXIMUM_PROBLEMS)
                .forEach(unreadable::add);
        ArrayNode copies = document.putArray("copies");
        for (CategoryStatus each : replica.categories()) {
            copies.addObject()
                    .put("category", JsonFormat.toName(each.category()))
                    .put("listed", each.listed())
                    .put("revision", StoreRevision.revision(each.revision()))
                    .put("source", JsonFormat.toName(each.source()))
                    .put("ageMillis", each.age().toMillis())
                    .put("proofAgeMillis", each.proofAge().toMillis())
                    .put("documents", each.documents());
        }
        return document;
    }

    ObjectNode members() {
        ObjectNode document = newDocument();
        document.put("shareholders", mSources.heartbeats().shareholders());
        ArrayNode members = document.putArray("members");
        for (PeerMember member : mSources.heartbeats().members()) {
            PeerInstance instance = member.instance();
            members.addObject()
                    .put("instance", instance.id().value())
                    .put("incarnation", instance.incarnation())
                    .put("zone", instance.zone().value())
                    .put("region", instance.region().value())
                    .put("state", JsonFormat.toName(member.state()))
                    .put("ready", instance.ready())
                    .put("leaving", member.leaving())
                    .put("revision", StoreRevision.revision(instance.revision()))
                    .put("silentMillis", member.inactiveMillis())
                    .put("entry", instance.entry().toString())
                    .put("control", instance.internal().ip() + ":" + mSources.port());
        }
        return document;
    }

    Either<ControlProblem, ObjectNode> servers(Optional<String> service) {
        Optional<ControlProblem> unknown = unknownService(service);
        if (unknown.isPresent()) {
            return Either.left(unknown.get());
        }
        ObjectNode document = newTrafficDocument();
        ArrayNode servers = document.putArray("servers");
        mTraffic.servers().stream()
                .filter(
                        each ->
                                service.isEmpty()
                                        || each.server().service().value().equals(service.get()))
                .forEach(each -> ServerDocument.write(each, servers.addObject(), mNowNanos));
        return Either.right(document);
    }

    Either<ControlProblem, ObjectNode> load(Optional<String> service) {
        Optional<ControlProblem> unknown = unknownService(service);
        if (unknown.isPresent()) {
            return Either.left(unknown.get());
        }
        ObjectNode document = newTrafficDocument();
        ArrayNode loads = document.putArray("load");
        mTraffic.loads().stream()
                .filter(each -> service.isEmpty() || each.service().value().equals(service.get()))
                .forEach(
                        each ->
                                LoadDocument.write(
                                        each, mSources.self().zone(), loads.addObject()));
        return Either.right(document);
    }

    /** Returns the problem of a request for a service that is not configured. */
    private Optional<ControlProblem> unknownService(Optional<String> service) {
        boolean isKnown =
                service.isEmpty()
                        || mSources.replica().snapshot().routing().stream()
                                .flatMap(routing -> routing.services().keySet().stream())
                                .anyMatch(each -> each.value().equals(service.get()));
        return isKnown
                ? Optional.empty()
                : Optional.of(
                        ControlProblem.notFound(
                                "no-such-service",
                                "The routes in force name no service '%s'.",
                                service.get()));
    }

    ObjectNode budget() {
        ObjectNode document = newTrafficDocument();
        document.put("shareholders", mSources.heartbeats().shareholders());
        ArrayNode budgets = document.putArray("budgets");
        TreeMap<String, RetryBudgetUsage> sorted = new TreeMap<>();
        mTraffic.budgets()
                .forEach((ServiceId id, RetryBudgetUsage usage) -> sorted.put(id.value(), usage));
        sorted.forEach(
                (service, usage) ->
                        budgets.addObject()
                                .put("service", service)
                                .put("requests", usage.requests())
                                .put("used", usage.used())
                                .put("bound", JsonFormat.rounded(usage.bound()))
                                .put("left", JsonFormat.rounded(usage.left())));
        ArrayNode cold = document.putArray("coldServers");
        mTraffic.servers().stream()
                .filter(ServerSnapshot::cold)
                .forEach(each -> ServerDocument.writeCold(each, cold.addObject(), mNowNanos));
        if (!mTraffic.spendings().isEmpty()) {
            writeSpendings(document.putArray("spendings"));
        }
        return document;
    }

    /**
     * Writes the spending of the shifts that are running; amounts are in millionths of the currency
     * unit.
     */
    private void writeSpendings(ArrayNode spendings) {
        Instant now = mSources.timeSource().instant();
        mTraffic.spendings().stream()
                .filter(view -> view.shift().contains(now))
                .forEach(
                        view ->
                                spendings
                                        .addObject()
                                        .put("service", view.key().service().value())
                                        .put("shift", view.key().shift().value())
                                        .put("end", view.shift().end().toString())
                                        .put("capMicros", view.capMicros())
                                        .put("allottedMicros", view.allottedMicros())
                                        .put("heldMicros", view.availableMicros())
                                        .put("spentMicros", view.spentMicros())
                                        .put("fleetSpentMicros", view.fleetSpentMicros())
                                        .put("state", view.state().text()));
    }

    ObjectNode crashes() {
        ObjectNode document = newTrafficDocument();
        ArrayNode crashes = document.putArray("crashes");
        for (CrashView each : mTraffic.crashes()) {
            ObjectNode crash =
                    crashes.addObject()
                            .put("fingerprint", each.request().toString())
                            .put("state", JsonFormat.toName(each.state()))
                            .put("ends", each.ends())
                            .put("ownEnds", each.ownEnds())
                            .put("reporters", each.reporters())
                            .put("tellers", each.verdictReporters())
                            .put("rejections", each.rejections())
                            .put("leftMillis", JsonFormat.millis(each.remainingNanos()));
            if (each.newestEndAgoNanos() >= 0) {
                crash.put("newestEndMillis", JsonFormat.millis(each.newestEndAgoNanos()));
            }
        }
        return document;
    }

    ObjectNode workspaces() {
        ObjectNode document = newTrafficDocument();
        mTraffic.workspaces().write(document);
        return document;
    }

    Either<ControlProblem, ObjectNode> timeline(ControlRequest request) {
        return request.number(
                        ControlView.VIEW_CHANGES,
                        DEFAULT_VIEW_CHANGES,
                        RecentDecisions.MAXIMUM_VIEW_CHANGES)
                .map(changeCount -> timeline(request.parameter(ControlView.REQUEST), changeCount));
    }

    private ObjectNode timeline(Optional<String> requestId, int changeCount) {
        ObjectNode document = newDocument();
        document.put("forgottenLines", mSources.decisions().evicted());
        requestId.ifPresent(
                id -> {
                    document.put("request", id);
                    document.putArray("lines").addAll(mSources.decisions().requestLines(id));
                });
        document.putArray("beliefs").addAll(mSources.decisions().recentViewChanges(changeCount));
        return document;
    }

    private ObjectNode newDocument() {
        return JsonFormat.object()
                .put("instance", mSources.self().id().value())
                .put("at", mSources.timeSource().instant().toString());
    }

    private ObjectNode newTrafficDocument() {
        return newDocument().put("ageMillis", JsonFormat.millis(mNowNanos - mTraffic.takenNanos()));
    }

    private static Optional<Long> age(ReplicaStatus replica, Category category) {
        return replica.categories().stream()
                .filter(each -> each.category() == category && each.listed())
                .map(each -> each.age().toMillis())
                .findFirst();
    }
}
