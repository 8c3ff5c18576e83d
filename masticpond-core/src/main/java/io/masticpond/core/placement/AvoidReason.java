package io.masticpond.core.placement;

/**
 * Reasons for temporarily avoiding a backend server.
 *
 * @since 0.2
 */
public enum AvoidReason {
    /** The server stated that a request was not addressed to it. */
    MISDIRECTED,
    /** The server rejected a request, most likely for lack of capacity. */
    TURNED_AWAY,
    /** No connection to the server could be opened. */
    UNREACHABLE
}
