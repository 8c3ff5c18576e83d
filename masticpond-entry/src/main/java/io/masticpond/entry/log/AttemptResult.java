package io.masticpond.entry.log;

import io.masticpond.entry.backend.CallFailure;

/**
 * Result of a call to a backend server.
 *
 * @since 0.2
 */
public enum AttemptResult {
    /** The call has not ended. */
    OPEN,
    /** The server answered. */
    ANSWERED,
    /** The server declared that it did not run the request. */
    TURNED_AWAY,
    /** No connection could be established. */
    NOT_CONNECTED,
    /** All connections that this instance may open to the server were in use. */
    NO_CONNECTION_FREE,
    /** The server withdrew while the call was waiting for a connection to it. */
    WITHDRAWN,
    /** The connection closed before the answer was complete. */
    BROKEN_OFF,
    /** The answer did not belong to this request. */
    BAD_ANSWER,
    /** No complete answer arrived before the timeout. */
    TIMED_OUT,
    /** The answer waited for room in the body budget until the timeout. */
    UNREAD,
    /** This instance ended the call: the client had disconnected or its deadline had passed. */
    CANCELLED;

    /**
     * Returns the result of a call that failed.
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
            case UNREAD -> UNREAD;
        };
    }
}
