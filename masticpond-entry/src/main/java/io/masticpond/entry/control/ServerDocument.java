package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.statement.WithdrawalView;

/** Writer of the JSON documents that describe a backend server. */
final class ServerDocument {

    private ServerDocument() {}

    static void write(ServerSnapshot snapshot, ObjectNode node, long nowNanos) {
        RegisteredServer server = snapshot.server();
        node.put("server", server.id().value())
                .put("service", server.service().value())
                .put("zone", server.zone().value())
                .put("address", server.address().toString())
                .put("state", state(snapshot))
                .put("slots", server.slots())
                .put("inFlight", JsonFormat.rounded(snapshot.inFlight()))
                .put("own", snapshot.own())
                .put("serviceMillis", JsonFormat.millis((long) snapshot.serviceNanos()));
        if (snapshot.cold()) {
            node.put("coldMillis", remainingColdMillis(server, nowNanos));
        }
        snapshot.avoidReason().ifPresent(reason -> node.put("avoided", JsonFormat.toName(reason)));
        snapshot.withdrawal().ifPresent(each -> writeWithdrawal(each, node));
        snapshot.limit().ifPresent(limit -> writeLimit(limit, node));
        snapshot.evaluation()
                .ifPresent(
                        evaluation ->
                                node.put("penalty", JsonFormat.rounded(evaluation.penalty()))
                                        .put("calls", JsonFormat.rounded(evaluation.calls()))
                                        .put(
                                                "failureShare",
                                                JsonFormat.rounded(evaluation.failureShare()))
                                        .put(
                                                "meanMillis",
                                                JsonFormat.millis(evaluation.meanNanos())));
    }

    private static void writeWithdrawal(WithdrawalView withdrawal, ObjectNode node) {
        node.put("withdrawal", JsonFormat.toName(withdrawal.state()))
                .put("withdrawalAgeMillis", JsonFormat.millis(withdrawal.ageNanos()));
        if (withdrawal.leftNanos() > 0) {
            node.put("withdrawalLeftMillis", JsonFormat.millis(withdrawal.leftNanos()));
        }
    }

    private static void writeLimit(LimitView limit, ObjectNode node) {
        node.put("limitPerSecond", JsonFormat.rounded(limit.perSecond()))
                .put("limitSenders", limit.senders())
                .put("limitOwnPerSecond", JsonFormat.rounded(limit.ownPerSecond()))
                .put("limitSource", limit.isOwn() ? "answer" : "peer")
                .put("limitAgeMillis", JsonFormat.millis(limit.ageNanos()));
    }

    static void writeCold(ServerSnapshot snapshot, ObjectNode node, long nowNanos) {
        RegisteredServer server = snapshot.server();
        node.put("server", server.id().value())
                .put("service", server.service().value())
                .put("zone", server.zone().value())
                .put("coldMillis", remainingColdMillis(server, nowNanos));
        snapshot.owners().forEach(owner -> node.withArray("owners").add(owner.value()));
    }

    /**
     * Returns the first reason for which the server gets no requests or only a limited number, or
     * "usable".
     */
    private static String state(ServerSnapshot snapshot) {
        if (snapshot.server().leaving()) {
            return "leaving";
        }
        if (snapshot.withdrawal().isPresent()) {
            return JsonFormat.toName(snapshot.withdrawal().get().state());
        }
        if (snapshot.evacuated()) {
            return "evacuated";
        }
        if (snapshot.avoidReason().isPresent()) {
            return "avoided";
        }
        if (snapshot.limit().isPresent()) {
            return "limited";
        }
        return snapshot.cold() ? "cold" : "usable";
    }

    /**
     * Returns for how long, in milliseconds, the server stays cold by the registry. The rate limit
     * of a cold server is kept a little longer.
     */
    private static long remainingColdMillis(RegisteredServer server, long nowNanos) {
        return Math.max(0, JsonFormat.millis(server.coldUntilNanos() - nowNanos));
    }
}
