package io.masticpond.entry.request;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.Optional;

/**
 * Reason for which a request is not sent to a backend server.
 *
 * @param cause the cause, from a fixed set of values
 * @param status the status of the answer if the request has not run before
 * @param retryAfter when the client may retry; empty if a retry would not help
 * @since 0.2
 */
record Rejection(String cause, int status, Optional<Duration> retryAfter) {

    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Validates the components. */
    Rejection {
        Assert.hasText(cause, "A cause");
        Assert.notNull(retryAfter, "A retry delay");
    }

    /** Creates a rejection of a request that did not run and may be retried later. */
    static Rejection unavailable(String cause, Duration retryDelay) {
        return new Rejection(cause, UNAVAILABLE, Optional.of(retryDelay));
    }

    /** Creates a rejection of a request over the rate of its workspace. */
    static Rejection tooManyRequests(String cause, Duration retryDelay) {
        return new Rejection(cause, TOO_MANY_REQUESTS, Optional.of(retryDelay));
    }

    /** Creates a rejection of a request without a valid key of a workspace. */
    static Rejection unauthorized(String cause) {
        return new Rejection(cause, UNAUTHORIZED, Optional.empty());
    }

    /** Creates a rejection of an invalid request. */
    static Rejection invalid(String cause, int status) {
        return new Rejection(cause, status, Optional.empty());
    }
}
