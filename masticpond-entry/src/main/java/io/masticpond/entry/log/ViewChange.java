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
 * Change in what an instance knows of the fleet.
 *
 * @since 0.2
 */
public sealed interface ViewChange extends LineContent
        permits BodyChange,
                LoadChange,
                ReachabilityChange,
                ServerRestart,
                ViewChange.Routing,
                ViewChange.Registry,
                ViewChange.Server,
                ViewChange.ServerCheck,
                ViewChange.CrashingRequest,
                ViewChange.ServerLimit,
                ViewChange.MalformedLimit,
                ViewChange.Withdrawal,
                ViewChange.MalformedStatement,
                ViewChange.Zone,
                ViewChange.Peer,
                ViewChange.Store,
                ViewChange.Proof {

    /** States into which a backend server changes. */
    enum ServerState {
        /** The server is new. */
        SEEN,
        /** The server has restarted under the same id. */
        RESTARTED,
        /** The server accepts no new requests. */
        LEAVING,
        /** The server is no longer registered. */
        GONE,
        /** The server is cold. */
        COLD,
        /** The server is no longer cold. */
        WARM
    }

    /**
     * Change to another version of the routes.
     *
     * @param formerVersion the previous version, or {@link RequestRecord#UNKNOWN}
     * @param version the version now in force
     * @param revision the revision of the store
     * @param source the source of the update
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
     * Initial snapshot of the backend servers, logged instead of a line for each server.
     *
     * @param servers the number of registered servers
     * @param leaving the number of servers that are leaving
     * @param cold the number of cold servers
     * @param revision the revision of the store
     * @param source the source of the update
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
     * Change of a backend server.
     *
     * @param server the server
     * @param service the service of the server
     * @param zone the availability zone of the server
     * @param state the new state
     * @param revision the revision of the store
     * @param source the source of the update
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
            line.writeStringField("server", LineText.of(server.value()));
            line.writeStringField("service", LineText.of(service.value()));
            line.writeStringField("zone", LineText.of(zone.value()));
            line.writeStringField("state", EnumNames.toName(state));
            writeOrigin(line, revision, source);
        }
    }

    /**
     * Result of the connection attempt that checks a backend server after requests broke off there.
     *
     * @param server the server
     * @param ended whether the connection was refused, which shows that the server has terminated
     * @param requests the number of requests that broke off
     * @param millis the time from the first of these requests breaking off to the result, in
     *     milliseconds
     */
    record ServerCheck(BackendServerId server, boolean ended, int requests, long millis)
            implements ViewChange {

        @Override
        public String event() {
            return "server-check";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", LineText.of(server.value()));
            line.writeStringField("state", ended ? "ended" : "not-known-to-have-ended");
            line.writeNumberField("requests", requests);
            line.writeNumberField("millis", millis);
        }
    }

    /**
     * Change of the view of a request during which servers terminated.
     *
     * @param view the new view, with the observations on which it is based
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
     * Change of the view of the limit that a backend server states.
     *
     * @param view the new view, with the observations on which it is based
     */
    record ServerLimit(LimitView view) implements ViewChange {

        @Override
        public String event() {
            return "server-limit";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", LineText.of(view.server().value()));
            line.writeStringField("service", LineText.of(view.service().value()));
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
     * Malformed limit stated by a backend server.
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
            line.writeStringField("server", LineText.of(server.value()));
            line.writeStringField("state", "malformed");
        }
    }

    /**
     * Withdrawal of a backend server by its own statement, or the end of such a withdrawal.
     *
     * @param view the new view, with the observations on which it is based
     */
    record Withdrawal(WithdrawalView view) implements ViewChange {

        @Override
        public String event() {
            return "server-withdrawal";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", LineText.of(view.server().value()));
            line.writeStringField("service", LineText.of(view.service().value()));
            line.writeStringField("state", EnumNames.toName(view.state()));
            if (view.leftNanos() > 0) {
                line.writeNumberField("leftMillis", RequestLine.millis(view.leftNanos()));
            }
            line.writeStringField("source", "answer");
            line.writeNumberField("ageMillis", RequestLine.millis(view.ageNanos()));
        }
    }

    /**
     * Malformed statement of a backend server.
     *
     * @param server the server
     * @param part the malformed part of the statement
     */
    record MalformedStatement(BackendServerId server, StatementPart part) implements ViewChange {

        @Override
        public String event() {
            return part == StatementPart.LOAD ? "server-load" : "server-withdrawal";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", LineText.of(server.value()));
            line.writeStringField("state", "malformed");
            line.writeStringField("part", EnumNames.toName(part));
        }
    }

    /**
     * Evacuation of an availability zone, or its return to service.
     *
     * @param zone the zone
     * @param evacuated whether the zone is evacuated now
     * @param revision the revision of the store
     * @param source the source of the update
     */
    record Zone(ZoneId zone, boolean evacuated, long revision, UpdateSource source)
            implements ViewChange {

        @Override
        public String event() {
            return "zone";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("zone", LineText.of(zone.value()));
            line.writeStringField("state", evacuated ? "evacuated" : "returned");
            writeOrigin(line, revision, source);
        }
    }

    /**
     * Loss of another instance, or its return.
     *
     * @param peer the instance
     * @param incarnation the incarnation of the instance, or {@link RequestRecord#UNKNOWN}
     * @param alive whether messages from the instance are received again
     * @param inactiveMillis for how long no message was received, in milliseconds
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
     * Loss of the platform's store, or its return.
     *
     * @param reachable whether the store answers
     * @param unresponsiveMillis for how long the store had not answered, in milliseconds
     * @param cause the cause of the last failure, from a fixed set of values; null if there was
     *     none
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
     * Change in whether this instance can prove that its workspace keys are the newest.
     *
     * @param proven whether the instance can prove it
     * @param ageNanos the age of the newest proof, or {@link RequestRecord#UNKNOWN}
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
