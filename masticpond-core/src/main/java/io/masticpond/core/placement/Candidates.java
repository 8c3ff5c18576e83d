package io.masticpond.core.placement;

import java.util.OptionalDouble;

/**
 * Strategy interface that determines which servers of its service a request may use.
 *
 * @since 0.2
 */
public interface Candidates {

    /**
     * Determines whether a server may take the request; a cold server may be usable. Called once
     * for each server.
     *
     * @param load the server
     * @return whether the server may take the request
     */
    boolean isUsable(ServerLoad load);

    /**
     * Determines whether a server is cold.
     *
     * @param load the server
     * @return whether the server is cold
     */
    boolean isCold(ServerLoad load);

    /**
     * Determines whether a server accepts requests at a bounded rate, because it is cold or has
     * stated a limit.
     *
     * @param load the server
     * @return whether a request to the server requires a permit
     */
    default boolean isPaced(ServerLoad load) {
        return isCold(load);
    }

    /**
     * Returns the rate of the servers that have stated limits, if no other server may take the
     * request. Available after {@link #isUsable} has been called for all servers.
     *
     * @return the requests per second that this instance may send to them, or empty if other
     *     servers may take the request or none may
     */
    default OptionalDouble limitedPerSecond() {
        return OptionalDouble.empty();
    }

    /**
     * Acquires the permit to send the request to a paced server; called only for the chosen server.
     *
     * @param load the server
     * @return whether a permit was available
     */
    boolean tryPermit(ServerLoad load);
}
