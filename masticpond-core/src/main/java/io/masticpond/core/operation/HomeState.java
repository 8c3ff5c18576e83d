package io.masticpond.core.operation;

/**
 * State of the home of a key, as seen by another instance.
 *
 * @since 0.1
 */
public enum HomeState {
    /** Messages to the home are expected to be delivered. */
    REACHABLE,
    /** The home is unresponsive or unknown; it may be paused or disconnected, and may return. */
    UNREACHABLE,
    /** A later incarnation of the same instance was observed, so the home never returns. */
    TERMINATED
}
