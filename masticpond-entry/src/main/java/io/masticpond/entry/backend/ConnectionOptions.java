package io.masticpond.entry.backend;

import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * Header names, timeouts and size limits of the connections to backend servers.
 *
 * @param requestIdHeader the header in which a server echoes the id of the request that it answers
 * @param notExecutedHeader the header by which a server states that it did not run the request
 * @param connectTimeoutNanos the timeout for opening a connection
 * @param unstatedIdleNanos how long a connection may be idle and still be reused, if the server
 *     does not state after how long it closes idle connections
 * @param maximumAnswerBytes the maximum size of the body of an answer
 * @param localAddress the address from which connections are opened; empty to let the system choose
 * @since 0.2
 */
public record ConnectionOptions(
        String requestIdHeader,
        String notExecutedHeader,
        long connectTimeoutNanos,
        long unstatedIdleNanos,
        long maximumAnswerBytes,
        Optional<String> localAddress) {

    /** Default name of the header that carries the request id. */
    public static final String DEFAULT_REQUEST_ID_HEADER = "X-Request-Id";

    private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 1_000_000_000L;
    private static final long DEFAULT_UNSTATED_IDLE_NANOS = 4_000_000_000L;
    private static final long DEFAULT_MAXIMUM_ANSWER_BYTES = 64L << 20;

    /**
     * Creates options with which the system chooses the local address.
     *
     * @param requestIdHeader the header in which a server echoes the id of the request
     * @param notExecutedHeader the header by which a server states that it did not run the request
     * @param connectTimeoutNanos the timeout for opening a connection
     * @param unstatedIdleNanos how long a connection may be idle and still be reused
     * @param maximumAnswerBytes the maximum size of the body of an answer
     */
    public ConnectionOptions(
            String requestIdHeader,
            String notExecutedHeader,
            long connectTimeoutNanos,
            long unstatedIdleNanos,
            long maximumAnswerBytes) {
        this(
                requestIdHeader,
                notExecutedHeader,
                connectTimeoutNanos,
                unstatedIdleNanos,
                maximumAnswerBytes,
                Optional.empty());
    }

    /** Validates the components. */
    public ConnectionOptions {
        Assert.hasText(requestIdHeader, "The name of the header with the request id");
        Assert.hasText(notExecutedHeader, "The name of the header of requests not executed");
        Assert.positive(connectTimeoutNanos, "A connect timeout");
        Assert.positive(unstatedIdleNanos, "An idle time");
        Assert.positive(maximumAnswerBytes, "A maximum size of answers");
    }

    /**
     * Creates options with the default timeouts and sizes.
     *
     * @param requestIdHeader the header in which a server echoes the id of the request
     * @param notExecutedHeader the header by which a server states that it did not run the request
     * @return the options
     */
    public static ConnectionOptions of(String requestIdHeader, String notExecutedHeader) {
        return new ConnectionOptions(
                requestIdHeader,
                notExecutedHeader,
                DEFAULT_CONNECT_TIMEOUT_NANOS,
                DEFAULT_UNSTATED_IDLE_NANOS,
                DEFAULT_MAXIMUM_ANSWER_BYTES);
    }
}
