package io.masticpond.entry.log;

import io.masticpond.entry.backend.CallFailure;

/**
 * How a call to a backend server ended.
 *
 * @since 0.2
 */
public enum AttemptResult {
    /** It has not ended. */
    OPEN,
    /** The server answered. */
    ANSWERED,
    /** The server declared that it did not run the request. */
    TURNED_AWAY,
    /** There was no connection. */
    NOT_CONNECTED,
    /** All connections that this instance may hold to the server were in use. */
    NO_CONNECTION_FREE,
    /** The server came to take no requests while a connection to it was waited for. */
    WITHDRAWN,
    /** The connection ended before a whole answer. */
    BROKEN_OFF,
    /** The answer was none to this request. */
    BAD_ANSWER,
    /** There was no whole answer in time. */
    TIMED_OUT,
    /** This instance ended the call, as the client had gone or time was up. */
    CANCELLED;

    /**
     * Gives the result of a call that failed.
     *
     * @param failure the failure
     * @return the result
     */
    public static AttemptResult of(CallFailure failure) {
        return switch (failure.kind()) {
            case NOT_CONNECTED -> NOT_CONNECTED;
            case NO_CONNECTION_FREE -> NO_CONNECTION_FREE;
            case WITHDRAWN -> WITHDRAWN;
            case BROKEN_OFF -> BROKEN_OFF;
            case BAD_ANSWER -> BAD_ANSWER;
            case TIMED_OUT -> TIMED_OUT;
        };
    }
}
