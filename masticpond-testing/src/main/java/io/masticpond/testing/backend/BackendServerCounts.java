package io.masticpond.testing.backend;

/**
 * Counters of a stand-in backend server.
 *
 * @param requests requests that arrived
 * @param executions requests that ran
 * @param shed requests that were shed
 * @param withdrawn requests whose connection closed before they ran
 * @param abandoned requests whose connection closed while they ran
 * @param probes health and load calls
 * @param inFlight requests that run or wait now
 * @param highestInFlight maximum number of requests that ran or waited at once
 * @param slots number of slots
 * @param connections connections that were opened
 * @param highestConnections maximum number of connections at once
 * @param drainingMillis time since the start of the drain, or -1 if the server is not leaving
 * @param lastNewWorkMillis time from the start of the drain to the last request that arrived during
 *     it, or -1 for none
 * @since 0.1
 */
public record BackendServerCounts(
        long requests,
        long executions,
        long shed,
        long withdrawn,
        long abandoned,
        long probes,
        int inFlight,
        int highestInFlight,
        int slots,
        long connections,
        int highestConnections,
        long drainingMillis,
        long lastNewWorkMillis) {

    /**
     * Returns the highest utilization of the slots.
     *
     * @return maximum number of requests at once per slot; above 1 the server was overloaded
     */
    public double highestSlotUse() {
        return (double) highestInFlight / slots;
    }
}
