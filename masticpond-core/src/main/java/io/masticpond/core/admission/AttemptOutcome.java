package io.masticpond.core.admission;

/**
 * Outcome of an attempt at a backend server, as seen by the instance that sent it.
 *
 * @since 0.1
 */
public enum AttemptOutcome {
    /** A complete answer that is not a server error. */
    ANSWERED(false),
    /** A complete answer with a server error status. */
    SERVER_ERROR(false),
    /** The server stated that it shed the request without running it. */
    SHED(false),
    /** No connection could be established, so the request did not run. */
    UNREACHABLE(false),
    /** The connection broke or the answer was truncated. */
    BROKEN(true),
    /** The deadline passed before a complete answer; the server may still process the request. */
    TIMED_OUT(true),
    /** The caller cancelled the attempt; the server may still process the request. */
    CANCELLED(true);

    private final boolean mMayStillRun;

    AttemptOutcome(boolean mayStillRun) {
        mMayStillRun = mayStillRun;
    }

    /**
     * Returns whether the server may still process the request, so that its slot stays counted.
     *
     * @return whether the request may still run
     */
    public boolean mayStillRun() {
        return mMayStillRun;
    }
}
