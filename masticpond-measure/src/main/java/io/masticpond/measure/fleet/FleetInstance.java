package io.masticpond.measure.fleet;

/**
 * Addresses of one instance of a fleet.
 *
 * @param id the id of the instance
 * @param zone its availability zone
 * @param ip its IP address
 * @since 0.1
 */
public record FleetInstance(String id, String zone, String ip) {

    private static final int CALLER_PORT = 8080;
    private static final int OPERATOR_PORT = 8081;
    private static final int LINK_PORT = 8082;

    /**
     * Returns the address for callers.
     *
     * @return the address as "ip:port"
     */
    public String callerAddress() {
        return ip + ":" + CALLER_PORT;
    }

    /**
     * Returns the address for operators.
     *
     * @return the address as "ip:port"
     */
    public String operatorAddress() {
        return ip + ":" + OPERATOR_PORT;
    }

    /**
     * Returns the link address for other instances.
     *
     * @return the address as "ip:port"
     */
    public String linkAddress() {
        return ip + ":" + LINK_PORT;
    }
}
