package io.masticpond.entry.log;

/**
 * Whether the route of a request allows the request to run more than once.
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
