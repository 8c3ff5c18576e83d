package io.masticpond.entry.log;

/**
 * Reason for which a backend server was not a candidate for a request.
 *
 * @since 0.2
 */
public enum Exclusion {
    /** The server accepts no new requests. */
    LEAVING,
    /** The server has requested a pause. */
    PAUSED,
    /** The server's availability zone is evacuated. */
    EVACUATED,
    /** The server is cold and has already received the requests that a cold server may get. */
    COLD,
    /** The server has as many requests as this instance may have in flight there. */
    FULL,
    /** The server has stated a limit that allows this instance no request at present. */
    LIMITED,
    /** The route must not be served in the server's region. */
    NOT_HOME,
    /** The bytes of request bodies in flight to the server are at the limit of its service. */
    BODY_LIMIT,
    /** The server failed recently. */
    FAILING,
    /** The request has already been attempted on the server. */
    TRIED;

    /**
     * Determines whether the server may become a candidate shortly, or for the next request.
     *
     * @return whether the reason is transient
     */
    public boolean isTransient() {
        return switch (this) {
            case COLD, FULL, LIMITED, BODY_LIMIT, FAILING, TRIED -> true;
            case LEAVING, PAUSED, EVACUATED, NOT_HOME -> false;
        };
    }
}
