package io.masticpond.core.operation;

/**
 * The state of the home of a key, as another instance sees it.
 *
 * @since 0.1
 */
public enum HomeState {
    /** Messages to the home are expected to arrive. */
    REACHABLE,
    /** The home is silent or unknown; it may be paused or cut off, and come back. */
    UNREACHABLE,
    /** A later run of the same instance was seen, so the home never comes back. */
    TERMINATED
}
