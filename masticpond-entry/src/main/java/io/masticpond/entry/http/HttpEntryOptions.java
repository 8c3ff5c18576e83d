package io.masticpond.entry.http;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Bounds of a server that its operator does not set.
 *
 * @param pipelinedRequests how many requests of one connection are handled at the same time
 * @param bufferedBytes the greatest total of request bytes held for all connections
 * @param retryAfter the seconds after which a client refused for want of memory may come back
 * @param writeStall how long a client may read nothing of an answer before it is cut off
 * @param lingerTimeout how long a closed connection is read on so that the last answer arrives
 * @param drainPause how long an idle connection is kept once a planned stop has begun
 * @since 0.2
 */
public record HttpEntryOptions(
        int pipelinedRequests,
        long bufferedBytes,
        String retryAfter,
        Duration writeStall,
        Duration lingerTimeout,
        Duration drainPause) {

    /** Options that fit a process of a few hundred megabytes. */
    public static final HttpEntryOptions DEFAULT =
            new HttpEntryOptions(
                    32,
                    48L * 1024 * 1024,
                    "0.5",
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(500));

    /** Checks that all bounds are positive. */
    public HttpEntryOptions {
        Assert.positive(pipelinedRequests, "A number of pipelined requests");
        Assert.positive(bufferedBytes, "A bound of buffered bytes");
        Assert.hasText(retryAfter, "A time to retry after");
        Assert.positive(writeStall.toNanos(), "A time for a stalled write");
        Assert.positive(lingerTimeout.toNanos(), "A time to linger");
        Assert.positive(drainPause.toNanos(), "A pause before idle connections are closed");
    }
}
