package io.masticpond.entry.backend;

import io.masticpond.core.fleet.RegisteredServer;
import java.util.function.Consumer;

/**
 * Sends requests to backend servers over kept connections, one request at a time on each. Never
 * sends a request a second time by itself. Traffic thread only.
 *
 * @since 0.2
 */
public interface BackendConnections {

    /**
     * Sends a request to a server.
     *
     * @param server the server
     * @param maximumConnections how many connections this instance may hold to it
     * @param request the request
     * @param listener hears the end, never before this method returns
     * @return the call under way
     */
    BackendCall send(
            RegisteredServer server,
            int maximumConnections,
            BackendRequest request,
            BackendCallListener listener);

    /**
     * Opens a connection to learn whether a server still takes any; one that opens serves the next
     * request.
     *
     * @param server the server
     * @param listener hears the result, never before this method returns
     */
    void check(RegisteredServer server, Consumer<ServerReachability> listener);

    /**
     * Closes idle connections to a server that has gone; calls under way go on.
     *
     * @param server the server
     */
    void forget(RegisteredServer server);

    /** Closes all connections. */
    void close();
}
