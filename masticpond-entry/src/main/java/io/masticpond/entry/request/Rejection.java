package io.masticpond.entry.request;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.Optional;

/**
 * Why a request is not sent to a backend server.
 *
 * @param cause the cause, from a fixed set of words
 * @param status the status of the answer if the request has not run before
 * @param retryAfter when the client may come back; empty if that would change nothing
 * @since 0.2
 */
record Rejection(String cause, int status, Optional<Duration> retryAfter) {

    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    /** Checks the parts. */
    Rejection {
        Assert.hasText(cause, "A cause");
        Assert.notNull(retryAfter, "A time to come back");
    }

    /** The request did not run, and may later. */
    static Rejection unavailable(String cause, Duration comeBack) {
        return new Rejection(cause, UNAVAILABLE, Optional.of(comeBack));
    }

    /** The workspace has sent as much as it may. */
    static Rejection tooMany(String cause, Duration comeBack) {
        return new Rejection(cause, TOO_MANY, Optional.of(comeBack));
    }

    /** The key opens no workspace. */
    static Rejection unauthorized(String cause) {
        return new Rejection(cause, UNAUTHORIZED, Optional.empty());
    }

    /** The request itself is wrong. */
    static Rejection wrong(String cause, int status) {
        return new Rejection(cause, status, Optional.empty());
    }
}
