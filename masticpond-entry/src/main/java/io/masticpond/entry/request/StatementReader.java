package io.masticpond.entry.request;

import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.statement.ColdHeader;
import io.masticpond.core.statement.LeavingHeader;
import io.masticpond.core.statement.PauseHeader;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;

/** Reader of the statements of a backend server in the headers of an answer. */
final class StatementReader {

    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private final HeaderNames mNames;

    StatementReader(HeaderNames names) {
        mNames = names;
    }

    /**
     * Determines whether the load header of an answer is invalid at least in part. The header of a
     * misdirected request is ignored.
     */
    boolean isLoadMalformed(int status, HttpHeaders headers) {
        return status != MISDIRECTED && ReportedLoad.isMalformed(headers.get(mNames.serverLoad()));
    }

    /** Reads for how long a server is cold from its answer to a health check. */
    Optional<Duration> readColdTime(HttpHeaders headers) {
        return ColdHeader.parse(headers.getAll(mNames.serverColdMillis()));
    }

    /**
     * Reads the statements of an answer. Those of status 421 are ignored, since a misdirected
     * request was answered by another server.
     */
    ServerStatement read(int status, HttpHeaders headers) {
        if (status == MISDIRECTED) {
            return ServerStatement.NONE;
        }
        return new ServerStatement(
                LimitHeader.parse(headers.getAll(mNames.serverLimit())),
                ReportedLoad.parse(headers.get(mNames.serverLoad())),
                LeavingHeader.parse(headers.getAll(mNames.serverLeaving())),
                status == UNAVAILABLE
                        ? PauseHeader.parse(headers.getAll(mNames.retryAfter()))
                        : PauseHeader.ABSENT);
    }
}
