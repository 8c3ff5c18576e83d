package io.masticpond.entry.log;

/**
 * Reason for which a request whose attempt failed was not sent once more.
 *
 * @since 0.3
 */
public enum RetryDenial {
    /** The request may have run, and its route does not allow it to run twice. */
    ONCE_ONLY,
    /** Servers ended under requests like this one. */
    CRASH_SUSPECTED,
    /** The request was sent as often as its route allows. */
    ATTEMPTS,
    /** The deadline of the request has passed. */
    DEADLINE,
    /** The retry budget of the service is spent. */
    BUDGET
}
