package io.masticpond.entry.log;

/**
 * Outcome of a request for the client.
 *
 * @since 0.2
 */
public enum RequestOutcome {
    /** The request is still open. */
    OPEN,
    /** The answer of a backend server was forwarded to the client. */
    ANSWERED,
    /** The request has not run and will not run, and the client received a refusal. */
    REFUSED,
    /** The request was sent to a server and may have run, but there is no answer to forward. */
    GAVE_UP,
    /** The client closed its connection first. */
    CLIENT_GONE
}
