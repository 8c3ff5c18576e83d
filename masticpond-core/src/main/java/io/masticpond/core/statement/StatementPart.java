package io.masticpond.core.statement;

/**
 * Parts of a server's statement.
 *
 * @since 0.2
 */
public enum StatementPart {
    /** Whether the server is leaving. */
    LEAVING,
    /** The time for which the server requests a pause. */
    PAUSE,
    /** The load of the server. */
    LOAD
}
