package io.masticpond.core.placement;

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
     * Takes the permit to send the request to a cold server; asked for the chosen one alone.
     *
     * @param load the server
     * @return whether there was one
     */
    boolean tryPermit(ServerLoad load);
}
