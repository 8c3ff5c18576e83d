package io.masticpond.entry.backend;

import io.masticpond.core.support.Assert;

/**
 * What connections to backend servers are told about headers, times and sizes.
 *
 * @param requestIdHeader the header in which a server echoes the id of the request that it answers
 * @param notExecutedHeader the header by which a server states that it did not run the request
 * @param connectTimeoutNanos how long a connection may take to open
 * @param unstatedIdleNanos how long a connection may be idle and be used again, if the server does
 *     not state after how long it closes idle ones
 * @param maximumAnswerBytes how large the body of an answer may be
 * @since 0.2
 */
public record ConnectionOptions(
        String requestIdHeader,
        String notExecutedHeader,
        long connectTimeoutNanos,
        long unstatedIdleNanos,
        long maximumAnswerBytes) {

    /** The usual name of the header with the id of a request. */
    public static final String DEFAULT_REQUEST_ID_HEADER = "X-Request-Id";

    private static final long USUAL_CONNECT_TIMEOUT_NANOS = 1_000_000_000L;
    private static final long USUAL_UNSTATED_IDLE_NANOS = 4_000_000_000L;
    private static final long USUAL_MAXIMUM_ANSWER_BYTES = 64L << 20;

    /** Checks the parts. */
    public ConnectionOptions {
        Assert.hasText(requestIdHeader, "The name of the header with the request id");
        Assert.hasText(notExecutedHeader, "The name of the header of requests not executed");
        Assert.positive(connectTimeoutNanos, "A connect timeout");
        Assert.positive(unstatedIdleNanos, "An idle time");
        Assert.positive(maximumAnswerBytes, "A maximum size of answers");
    }

    /**
     * Gives options with the usual times and sizes.
     *
     * @param requestIdHeader the header in which a server echoes the id of the request
     * @param notExecutedHeader the header by which a server states that it did not run the request
     * @return the options
     */
    public static ConnectionOptions of(String requestIdHeader, String notExecutedHeader) {
        return new ConnectionOptions(
                requestIdHeader,
                notExecutedHeader,
                USUAL_CONNECT_TIMEOUT_NANOS,
                USUAL_UNSTATED_IDLE_NANOS,
                USUAL_MAXIMUM_ANSWER_BYTES);
    }
}
