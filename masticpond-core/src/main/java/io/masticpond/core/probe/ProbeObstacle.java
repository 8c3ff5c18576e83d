package io.masticpond.core.probe;

/**
 * Reasons why a backend server must not be probed.
 *
 * @since 0.3
 */
public enum ProbeObstacle {
    /** The server is leaving, by the registry or by its answers. */
    LEAVING(false),
    /** The server has asked for a pause. */
    PAUSED(false),
    /** The availability zone of the server is evacuated. */
    EVACUATED(false),
    /** The server is avoided after a failure. */
    AVOIDED(false),
    /** The server has stated a limit, which a probe would use up. */
    LIMITED(true),
    /** The server is cold, and its permitted rate is for requests. */
    COLD(true),
    /** The connections that this instance may hold to the server are needed for requests. */
    CONNECTIONS_IN_USE(true);

    private final boolean mTakesRequests;

    ProbeObstacle(boolean takesRequests) {
        mTakesRequests = takesRequests;
    }

    /**
     * Returns whether the server must not be probed for its reachability either. A server that is
     * avoided is the one that such a probe is about, and a cold one may be probed at its pace.
     *
     * @return whether the server has to be spared
     */
    public boolean isBinding() {
        return this != AVOIDED && this != COLD && this != CONNECTIONS_IN_USE;
    }

    /**
     * Returns whether requests may be sent to the server, so that it is a home of keys.
     *
     * @return whether it takes requests
     */
    boolean takesRequests() {
        return mTakesRequests;
    }
}
