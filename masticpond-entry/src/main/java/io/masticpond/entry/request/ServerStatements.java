package io.masticpond.entry.request;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Reads what backend servers state of themselves in their answers, and keeps what holds of them for
 * it. Traffic thread only.
 *
 * @since 0.2
 */
public final class ServerStatements {

    private final StatementReader mReader;
    private final ServerLimitGate mLimits;

    /**
     * Joins the parts.
     *
     * @param names the names of the headers
     * @param limits keeps the limits that servers name
     */
    public ServerStatements(HeaderNames names, ServerLimitGate limits) {
        mReader = new StatementReader(Assert.notNull(names, "Header names"));
        mLimits = Assert.notNull(limits, "A gate of server limits");
    }

    /**
     * Gives what keeps the limits that servers name.
     *
     * @return the gate
     */
    public ServerLimitGate limits() {
        return mLimits;
    }

    ServerStatement read(int status, HttpHeaders headers) {
        return mReader.read(status, headers);
    }

    void answered(ServerLoad load, ServerStatement statement, long sentNanos) {
        mLimits.answered(load, statement.limit(), sentNanos);
    }

    void forget(RegisteredServer server) {
        mLimits.forget(server);
    }
}
