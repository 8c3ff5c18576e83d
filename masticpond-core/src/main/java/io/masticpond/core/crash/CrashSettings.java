package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of the detection of requests that crash backend servers.
 *
 * @param ends the number of servers that ended one after the other while processing a request,
 *     without a success in between, after which the request is rejected
 * @param hold the time for which it is rejected at first; each further rejection lasts twice as
 *     long
 * @param memory the time for which the end of a server is counted
 * @since 0.2
 */
public record CrashSettings(int ends, Duration hold, Duration memory) {

    /**
     * Minimum number of ends; a single end proves nothing, and even two in a row happen by chance
     * when servers fail in turn.
     */
    private static final int MINIMUM_ENDS = 2;

    /**
     * Three servers, since users tolerate only a few sends after that. With rejections of 2, then 4
     * and 8 hours, a request that keeps crashing servers gets three trials in a day.
     */
    public static final CrashSettings DEFAULT =
            new CrashSettings(3, Duration.ofHours(2), Duration.ofMinutes(10));

    /** Validates the values. */
    public CrashSettings {
        Assert.isTrue(
                ends >= MINIMUM_ENDS, "The number of ends must be at least 2, but was %d.", ends);
        Assert.isTrue(hold.toMillis() > 0, "The duration of a rejection must be positive.");
        Assert.isTrue(
                memory.toMillis() > 0, "The time for which an end is counted must be positive.");
    }
}
