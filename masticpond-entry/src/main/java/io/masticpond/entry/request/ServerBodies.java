package io.masticpond.entry.request;

import io.masticpond.core.body.ServerBodyLimit;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.BodyChange;
import io.masticpond.entry.log.DecisionLog;

/**
 * Gate that limits the request bodies in flight to each backend server, so that they don't exhaust
 * its memory again. For use on the traffic thread only.
 */
final class ServerBodies {

    private final TimeSource mTimeSource;
    private final ServerBodyLimit mLimit;

    ServerBodies(TimeSource timeSource, DecisionLog log) {
        mTimeSource = timeSource;
        mLimit =
                new ServerBodyLimit(
                        (server, inFlightBytes, limitBytes) ->
                                log.viewChanged(
                                        new BodyChange.ServerLimit(
                                                server.id(),
                                                server.service(),
                                                inFlightBytes,
                                                limitBytes)));
    }

    boolean accepts(ServerLoad load, int bytes, long nowNanos) {
        return mLimit.accepts(load.server(), bytes, nowNanos);
    }

    void started(ServerLoad load, int bytes) {
        mLimit.started(load.server().id(), bytes);
    }

    void ended(ServerLoad load, int bytes) {
        mLimit.ended(load.server().id(), bytes);
    }

    /** Records that a request broke off at a server, after it was recorded that it ended. */
    void brokenOff(RegisteredServer server, int bytes, long nowNanos) {
        mLimit.brokenOff(server.id(), bytes, nowNanos);
    }

    /** Records that a server terminated at which requests broke off. */
    void terminated(RegisteredServer server) {
        mLimit.terminated(server, mTimeSource.monotonicNanos());
    }
}
