package io.masticpond.entry.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * Refusal of a forwarded request, which did not run.
 *
 * @param status the status that the client is to receive
 * @param cause the cause, from a fixed set of values
 * @param retryAfter the time after which the client may retry; empty if a retry would not help
 * @since 0.3
 */
public record ForwardRefusal(int status, String cause, Optional<Duration> retryAfter) {

    /** Cause for which an instance refuses a request if it does not reach the service either. */
    public static final String UNREACHABLE = "servers-unreachable";

    /** Cause for which an instance refuses a request if it processes too many for others. */
    public static final String BUSY = "forwarding-busy";

    /** Cause for which no connection to an instance could be used. */
    public static final String NOT_CONNECTED = "peer-not-connected";

    private static final int UNAVAILABLE = 503;

    /** Creates the refusal of a request that was not written to any connection. */
    static ForwardRefusal notConnected() {
        return new ForwardRefusal(UNAVAILABLE, NOT_CONNECTED, Optional.empty());
    }

    /**
     * Determines whether another instance may accept the request.
     *
     * @return whether to forward it to another instance
     */
    public boolean isOfInstance() {
        return switch (cause) {
            case UNREACHABLE, BUSY, NOT_CONNECTED, "not-ready", "stopping", "unproven-keys" -> true;
            default -> false;
        };
    }
}
