package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.statement.WithdrawalView;

/** Writes what is believed of a backend server. */
final class ServerDocument {

    private ServerDocument() {}

    static void write(ServerSnapshot snapshot, ObjectNode into, long nowNanos) {
        RegisteredServer server = snapshot.server();
        into.put("server", server.id().value())
                .put("service", server.service().value())
                .put("zone", server.zone().value())
                .put("address", server.address().toString())
                .put("state", state(snapshot))
                .put("slots", server.slots())
                .put("inFlight", JsonFormat.rounded(snapshot.inFlight()))
                .put("own", snapshot.own())
                .put("serviceMillis", JsonFormat.millis((long) snapshot.serviceNanos()));
        if (snapshot.cold()) {
            into.put("coldMillis", coldMillis(server, nowNanos));
        }
        snapshot.avoidReason().ifPresent(reason -> into.put("avoided", JsonFormat.toName(reason)));
        snapshot.withdrawal().ifPresent(each -> writeWithdrawal(each, into));
        snapshot.limit().ifPresent(limit -> writeLimit(limit, into));
        snapshot.evaluation()
                .ifPresent(
                        judgement ->
                                into.put("penalty", JsonFormat.rounded(judgement.penalty()))
                                        .put("calls", JsonFormat.rounded(judgement.calls()))
                                        .put(
                                                "failureShare",
                                                JsonFormat.rounded(judgement.failureShare()))
                                        .put(
                                                "meanMillis",
                                                JsonFormat.millis(judgement.meanNanos())));
    }

    private static void writeWithdrawal(WithdrawalView withdrawal, ObjectNode into) {
        into.put("withdrawal", JsonFormat.toName(withdrawal.state()))
                .put("withdrawalAgeMillis", JsonFormat.millis(withdrawal.ageNanos()));
        if (withdrawal.leftNanos() > 0) {
            into.put("withdrawalLeftMillis", JsonFormat.millis(withdrawal.leftNanos()));
        }
    }

    private static void writeLimit(LimitView limit, ObjectNode into) {
        into.put("limitPerSecond", JsonFormat.rounded(limit.perSecond()))
                .put("limitSenders", limit.senders())
                .put("limitOwnPerSecond", JsonFormat.rounded(limit.ownPerSecond()))
                .put("limitSource", limit.isOwn() ? "answer" : "peer")
                .put("limitAgeMillis", JsonFormat.millis(limit.ageNanos()));
    }

    static void writeCold(ServerSnapshot snapshot, ObjectNode into, long nowNanos) {
        RegisteredServer server = snapshot.server();
        into.put("server", server.id().value())
                .put("service", server.service().value())
                .put("zone", server.zone().value())
                .put("coldMillis", coldMillis(server, nowNanos));
        snapshot.owners().forEach(owner -> into.withArray("owners").add(owner.value()));
    }

    /** Names the first thing that keeps requests away, or "usable". */
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

    /** Gives the time that it stays cold by the registry; the pace is kept a little longer. */
    private static long coldMillis(RegisteredServer server, long nowNanos) {
        return Math.max(0, JsonFormat.millis(server.coldUntilNanos() - nowNanos));
    }
}
