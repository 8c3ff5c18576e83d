package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.crash.CrashView;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.statement.StatementPart;
import io.masticpond.core.statement.WithdrawalView;
import java.io.IOException;

/**
 * A change of what an instance believes.
 *
 * @since 0.2
 */
public sealed interface ViewChange extends LineContent {

    /** How a backend server changed. */
    enum ServerState {
        /** It is new. */
        SEEN,
        /** It has started again under its id. */
        RESTARTED,
        /** It wants no new requests. */
        LEAVING,
        /** It is no longer registered. */
        GONE,
        /** It is cold. */
        COLD,
        /** It is cold no longer. */
        WARM
    }

    /**
     * Another version of the routes is in force.
     *
     * @param formerVersion the version before, or {@link RequestRecord#UNKNOWN}
     * @param version the version
     * @param revision the revision of the store
     * @param source where the news came from
     */
    record Routing(long formerVersion, long version, long revision, UpdateSource source)
            implements ViewChange {

        @Override
        public String event() {
            return "routing";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            RequestLine.writeKnown(line, "formerVersion", formerVersion);
            line.writeNumberField("version", version);
            writeOrigin(line, revision, source);
        }
    }

    /**
     * The first snapshot of the backend servers, in place of a line for each.
     *
     * @param servers how many are registered
     * @param leaving how many of them are leaving
     * @param cold how many of them are cold
     * @param revision the revision of the store
     * @param source where the news came from
     */
    record Registry(int servers, int leaving, int cold, long revision, UpdateSource source)
            implements ViewChange {

        @Override
        public String event() {
            return "registry";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeNumberField("servers", servers);
            line.writeNumberField("leaving", leaving);
            line.writeNumberField("cold", cold);
            writeOrigin(line, revision, source);
        }
    }

    /**
     * A backend server changed.
     *
     * @param server the server
     * @param service its service
     * @param zone its zone
     * @param state what it is now
     * @param revision the revision of the store
     * @param source where the news came from
     */
    record Server(
            BackendServerId server,
            ServiceId service,
            ZoneId zone,
            ServerState state,
            long revision,
            UpdateSource source)
            implements ViewChange {

        @Override
        public String event() {
            return "backend-server";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", server.value());
            line.writeStringField("service", service.value());
            line.writeStringField("zone", zone.value());
            line.writeStringField("state", EnumNames.toName(state));
            writeOrigin(line, revision, source);
        }
    }

    /**
     * Requests broke off at a backend server, and a new connection was tried.
     *
     * @param server the server
     * @param ended whether the connection was refused, so that the server has ended
     * @param requests how many requests broke off there
     * @param millis how long before the result the first of them did
     */
    record ServerCheck(BackendServerId server, boolean ended, int requests, long millis)
            implements ViewChange {

        @Override
        public String event() {
            return "server-check";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", server.value());
            line.writeStringField("state", ended ? "ended" : "not-known-to-have-ended");
            line.writeNumberField("requests", requests);
            line.writeNumberField("millis", millis);
        }
    }

    /**
     * Something else is believed of a request under which servers ended.
     *
     * @param view what is believed, and on what grounds
     */
    record CrashingRequest(CrashView view) implements ViewChange {

        @Override
        public String event() {
            return "crashing-request";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("fingerprint", view.request().toString());
            line.writeStringField("state", EnumNames.toName(view.state()));
            line.writeNumberField("ends", view.ends());
            line.writeNumberField("ownEnds", view.ownEnds());
            line.writeNumberField("reporters", view.reporters());
            line.writeNumberField("tellers", view.verdictReporters());
            if (view.newestEndAgoNanos() >= 0) {
                line.writeNumberField(
                        "newestEndMillis", RequestLine.millis(view.newestEndAgoNanos()));
            }
            line.writeNumberField("rejections", view.rejections());
            line.writeNumberField("leftMillis", RequestLine.millis(view.remainingNanos()));
        }
    }

    /**
     * Something else is believed of the limit that a backend server names.
     *
     * @param view what is believed, and on what grounds
     */
    record ServerLimit(LimitView view) implements ViewChange {

        @Override
        public String event() {
            return "server-limit";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", view.server().value());
            line.writeStringField("service", view.service().value());
            line.writeStringField("state", view.isLimited() ? "limited" : "lifted");
            if (view.isLimited()) {
                line.writeNumberField("perSecond", RequestLine.rounded(view.perSecond()));
                line.writeNumberField("senders", view.senders());
                line.writeNumberField("ownPerSecond", RequestLine.rounded(view.ownPerSecond()));
            }
            line.writeStringField("source", view.isOwn() ? "answer" : "peer");
            line.writeNumberField("ageMillis", RequestLine.millis(view.ageNanos()));
        }
    }

    /**
     * A backend server names something that is no limit.
     *
     * @param server the server
     */
    record MalformedLimit(BackendServerId server) implements ViewChange {

        @Override
        public String event() {
            return "server-limit";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", server.value());
            line.writeStringField("state", "malformed");
        }
    }

    /**
     * A backend server has withdrawn by its own word, or that holds no more.
     *
     * @param view what is believed, and on what grounds
     */
    record Withdrawal(WithdrawalView view) implements ViewChange {

        @Override
        public String event() {
            return "server-withdrawal";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", view.server().value());
            line.writeStringField("service", view.service().value());
            line.writeStringField("state", EnumNames.toName(view.state()));
            if (view.leftNanos() > 0) {
                line.writeNumberField("leftMillis", RequestLine.millis(view.leftNanos()));
            }
            line.writeStringField("source", "answer");
            line.writeNumberField("ageMillis", RequestLine.millis(view.ageNanos()));
        }
    }

    /**
     * A backend server states something of itself that means nothing.
     *
     * @param server the server
     * @param part what it is about
     */
    record MalformedStatement(BackendServerId server, StatementPart part) implements ViewChange {

        @Override
        public String event() {
            return "server-withdrawal";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", server.value());
            line.writeStringField("state", "malformed");
            line.writeStringField("part", EnumNames.toName(part));
        }
    }

    /**
     * A zone was evacuated or returned.
     *
     * @param zone the zone
     * @param evacuated whether it is evacuated now
     * @param revision the revision of the store
     * @param source where the news came from
     */
    record Zone(ZoneId zone, boolean evacuated, long revision, UpdateSource source)
            implements ViewChange {

        @Override
        public String event() {
            return "zone";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("zone", zone.value());
            line.writeStringField("state", evacuated ? "evacuated" : "returned");
            writeOrigin(line, revision, source);
        }
    }

    /**
     * Another instance is lost or heard again.
     *
     * @param peer the instance
     * @param incarnation its run, or {@link RequestRecord#UNKNOWN}
     * @param alive whether it is heard
     * @param inactiveMillis how long it had been silent
     */
    record Peer(InstanceId peer, long incarnation, boolean alive, long inactiveMillis)
            implements ViewChange {

        @Override
        public String event() {
            return "peer";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("peer", peer.value());
            RequestLine.writeKnown(line, "incarnation", incarnation);
            line.writeStringField("state", alive ? "regained" : "lost");
            line.writeNumberField("silentMillis", inactiveMillis);
        }
    }

    /**
     * The platform's store is lost or answers again.
     *
     * @param reachable whether it answers
     * @param unresponsiveMillis how long it had not answered
     * @param cause what failed last, from a fixed set of words; null if nothing did
     */
    record Store(boolean reachable, long unresponsiveMillis, String cause) implements ViewChange {

        @Override
        public String event() {
            return "store";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("state", reachable ? "regained" : "lost");
            line.writeNumberField("silentMillis", unresponsiveMillis);
            if (cause != null) {
                line.writeStringField("cause", LineText.of(cause));
            }
        }
    }

    /**
     * Whether this instance can prove that the keys of workspaces are the newest.
     *
     * @param proven whether it can
     * @param ageNanos how old the youngest proof is, or {@link RequestRecord#UNKNOWN}
     * @param revision the revision of the configuration in force
     */
    record Proof(boolean proven, long ageNanos, long revision) implements ViewChange {

        @Override
        public String event() {
            return "proof";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("state", proven ? "regained" : "lost");
            if (ageNanos != RequestRecord.UNKNOWN) {
                line.writeNumberField("ageMillis", RequestLine.millis(ageNanos));
            }
            RequestLine.writeRevision(line, "revision", revision);
        }
    }

    private static void writeOrigin(JsonGenerator line, long revision, UpdateSource source)
            throws IOException {
        RequestLine.writeRevision(line, "revision", revision);
        line.writeStringField("source", EnumNames.of(source));
    }
}
