package io.masticpond.core.placement;

/**
 * Strategy interface for comparing the servers that may take one request at one moment.
 *
 * @since 0.3
 */
interface ServerScorer {

    /**
     * Scores a server.
     *
     * @param server the server
     * @param rank the rank of the server among the homes of the key, from 0
     * @return the choice of this server, with its score
     */
    ServerChoice score(ServerLoad server, int rank);

    /**
     * Scores a server for a request that is refused at the chosen one.
     *
     * @param server the server
     * @param rank the rank of the server among the homes of the key, from 0
     * @return the choice of this server, with its score
     */
    ServerChoice scoreAlternative(ServerLoad server, int rank);

    /**
     * Returns the number of the first servers of a key that are compared at first.
     *
     * @return the number, positive
     */
    int comparedHomes();

    /**
     * Determines whether the best of the first servers is chosen; otherwise all are compared.
     *
     * @param best the best of the first servers
     * @return whether it is chosen
     */
    boolean isSufficient(ServerChoice best);
}
