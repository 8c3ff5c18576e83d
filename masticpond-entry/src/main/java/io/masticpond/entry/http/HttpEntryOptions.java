package io.masticpond.entry.http;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Limits and timeouts of a server that are not configurable by its operator.
 *
 * @param pipelinedRequests the maximum number of requests of one connection that are handled
 *     concurrently
 * @param retryAfter the seconds after which a client that was rejected for lack of memory may retry
 * @param writeStall how long a client may read nothing of an answer before its connection is closed
 * @param lingerTimeout how long a connection is still read from after its output was closed, so
 *     that the last answer arrives
 * @param drainPause how long a connection is kept open without a request once a planned stop closes
 *     idle connections
 * @since 0.2
 */
public record HttpEntryOptions(
        int pipelinedRequests,
        String retryAfter,
        Duration writeStall,
        Duration lingerTimeout,
        Duration drainPause) {

    /** Default options. */
    public static final HttpEntryOptions DEFAULT =
            new HttpEntryOptions(
                    32,
                    "0.5",
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(500));

    /** Validates that all limits are positive. */
    public HttpEntryOptions {
        Assert.positive(pipelinedRequests, "A number of pipelined requests");
        Assert.hasText(retryAfter, "A time to retry after");
        Assert.positive(writeStall.toNanos(), "A time for a stalled write");
        Assert.positive(lingerTimeout.toNanos(), "A time to linger");
        Assert.positive(drainPause.toNanos(), "A pause before idle connections are closed");
    }
}
