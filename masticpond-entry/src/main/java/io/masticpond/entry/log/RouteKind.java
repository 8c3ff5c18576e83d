package io.masticpond.entry.log;

/**
 * Kind of a route, by whether its requests may run more than once.
 *
 * @since 0.2
 */
public enum RouteKind {
    /** No route was found. */
    NONE,
    /** The request may run more than once. */
    IDEMPOTENT,
    /** The request must not run more than once. */
    ONCE_ONLY
}
