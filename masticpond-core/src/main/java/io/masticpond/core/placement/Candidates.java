package io.masticpond.core.placement;

import java.util.OptionalDouble;

/**
 * What one request may use of the servers of its service.
 *
 * @since 0.2
 */
public interface Candidates {

    /**
     * Tells whether a server may take the request; a server that is cold may be one. Asked once for
     * each server.
     *
     * @param load the server
     * @return whether it may
     */
    boolean isUsable(ServerLoad load);

    /**
     * Tells whether a server is cold.
     *
     * @param load the server
     * @return whether it is
     */
    boolean isCold(ServerLoad load);

    /**
     * Tells whether a server takes requests at a bounded rate, because it is cold or has named a
     * limit.
     *
     * @param load the server
     * @return whether it takes a permit to send there
     */
    default boolean isPaced(ServerLoad load) {
        return isCold(load);
    }

    /**
     * Tells what the servers take that have named limits, if no other server may take the request.
     * Known once all servers have been asked for with {@link #isUsable}.
     *
     * @return the requests a second that this instance may send to them, or empty if there are
     *     others or none
     */
    default OptionalDouble limitedPerSecond() {
        return OptionalDouble.empty();
    }

    /**
     * Takes the permit to send the request to a paced server; asked for the chosen one alone.
     *
     * @param load the server
     * @return whether there was one
     */
    boolean tryPermit(ServerLoad load);
}
