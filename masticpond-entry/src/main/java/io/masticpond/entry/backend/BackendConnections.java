package io.masticpond.entry.backend;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;
import java.util.function.Consumer;

/**
 * Strategy interface for sending requests to backend servers over persistent connections, each of
 * which carries one request at a time. Implementations never repeat a request on their own. To be
 * called on the traffic thread only.
 *
 * @since 0.2
 */
public interface BackendConnections {

    /**
     * Sends a request to a server.
     *
     * @param server the server
     * @param maximumConnections the maximum number of connections that this instance may hold to
     *     the server
     * @param request the request
     * @param listener the listener for the end of the call, never called before this method returns
     * @return the call in progress
     */
    BackendCall send(
            RegisteredServer server,
            int maximumConnections,
            BackendRequest request,
            BackendCallListener listener);

    /**
     * Sends a request to a server on a connection of its own, which is closed afterwards.
     *
     * @param server the server
     * @param request the request
     * @param listener the listener for the end of the call, never called before this method returns
     * @return the call in progress
     */
    BackendCall sendOnNewConnection(
            RegisteredServer server, BackendRequest request, BackendCallListener listener);

    /**
     * Opens a connection to check whether a server still accepts any. If it opens, the next request
     * uses it.
     *
     * @param server the server
     * @param listener the listener for the result, never called before this method returns
     */
    void check(RegisteredServer server, Consumer<ServerReachability> listener);

    /**
     * Returns the time in which the latest connection to a server was opened, which is one round
     * trip.
     *
     * @param server the server
     * @return the time in nanoseconds, 0 if none is known
     */
    default long roundTripNanos(RegisteredServer server) {
        return 0;
    }

    /**
     * Determines whether a connection to any server of a service is open.
     *
     * @param service the service
     * @return whether one is open, idle or in use
     */
    default boolean isConnected(ServiceId service) {
        return false;
    }

    /**
     * Closes the idle connections to a removed server; calls in progress continue.
     *
     * @param server the server
     */
    void removeServer(RegisteredServer server);

    /** Closes all connections. */
    void close();

    /**
     * Sets the listener for servers that reset an idle connection, which is closed by then.
     *
     * @param listener the listener, called on the event loop
     */
    default void setIdleResetListener(Consumer<RegisteredServer> listener) {}
}
