package io.masticpond.entry.log;

/**
 * Why a backend server was no candidate for a request.
 *
 * @since 0.2
 */
public enum Exclusion {
    /** It wants no new requests. */
    LEAVING,
    /** It has asked for a pause. */
    PAUSED,
    /** Its zone is evacuated. */
    EVACUATED,
    /** It is cold and has had what a cold server may get. */
    COLD,
    /** It is as full as this instance lets it become. */
    FULL,
    /** It has named a limit, and this instance may send it nothing now. */
    LIMITED,
    /** The route may not be served in its region. */
    NOT_HOME,
    /** It failed lately. */
    FAILING,
    /** The request was tried there before. */
    TRIED;

    /**
     * Tells whether the server may well be a candidate in a moment, or for the next request.
     *
     * @return whether it may
     */
    public boolean isTransient() {
        return switch (this) {
            case COLD, FULL, LIMITED, FAILING, TRIED -> true;
            case LEAVING, PAUSED, EVACUATED, NOT_HOME -> false;
        };
    }
}
