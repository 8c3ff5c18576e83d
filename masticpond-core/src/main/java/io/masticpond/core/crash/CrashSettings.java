package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * When a request counts as one that ends backend servers, and for how long.
 *
 * @param ends after how many servers that ended one after the other under it, with no success
 *     between, a request is rejected
 * @param hold for how long it is rejected the first time; each further time for twice as long
 * @param memory for how long an end counts
 * @since 0.2
 */
public record CrashSettings(int ends, Duration hold, Duration memory) {

    /** Two ends in a row happen by chance when servers fail in turn; that is no proof. */
    private static final int MINIMUM_ENDS = 2;

    /**
     * Three servers, as users bear no more of a few sends after that. With 2 hours, then 4 and 8, a
     * request that goes on ending servers gets three trials in a day.
     */
    public static final CrashSettings DEFAULT =
            new CrashSettings(3, Duration.ofHours(2), Duration.ofMinutes(10));

    /** Checks that the values are usable. */
    public CrashSettings {
        Assert.isTrue(ends >= MINIMUM_ENDS, "A proof takes 2 ends or more, but was %d.", ends);
        Assert.isTrue(hold.toMillis() > 0, "A time of rejection must be positive.");
        Assert.isTrue(memory.toMillis() > 0, "A time for which an end counts must be positive.");
    }
}
