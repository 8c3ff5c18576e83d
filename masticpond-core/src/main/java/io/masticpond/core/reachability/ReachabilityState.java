package io.masticpond.core.reachability;

/**
 * State of a service as one instance reaches it.
 *
 * @since 0.3
 */
public enum ReachabilityState {
    /** Some servers of the service answer, or nothing suggests that none does. */
    REACHABLE,
    /** Several servers failed or none answers, and probes are under way. */
    SUSPECTED,
    /** No server that was probed answers. */
    UNREACHABLE
}
