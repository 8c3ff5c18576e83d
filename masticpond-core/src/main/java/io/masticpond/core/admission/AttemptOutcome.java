package io.masticpond.core.admission;

/**
 * Says how an attempt at a backend server ended, as seen by the instance that sent it.
 *
 * @since 0.1
 */
public enum AttemptOutcome {
    /** A whole answer that is not a server error. */
    ANSWERED(false),
    /** A whole answer with a server error status. */
    SERVER_ERROR(false),
    /** The server declared that it shed the request without running it. */
    SHED(false),
    /** No connection could be made, so the request did not run. */
    UNREACHABLE(false),
    /** The connection broke or the answer was cut short. */
    BROKEN(true),
    /** The deadline passed before a whole answer; the server may still work on it. */
    TIMED_OUT(true),
    /** The caller gave up and the attempt was cancelled; the server may still work on it. */
    CANCELLED(true);

    private final boolean mMayGoOn;

    AttemptOutcome(boolean mayGoOn) {
        mMayGoOn = mayGoOn;
    }

    /**
     * Tells whether the server may still work on the request, so that its slot stays counted.
     *
     * @return whether the work may go on
     */
    public boolean mayStillRun() {
        return mMayGoOn;
    }
}
