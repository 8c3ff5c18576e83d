package io.masticpond.core.serverlimit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of the bound on the requests that reach a backend server which states a limit, summed
 * over all instances, and of the way in which instances stay below it.
 *
 * @param window the time window over which requests are counted
 * @param tolerance the multiple of the limit that the window may hold, at least 1
 * @param burst the number of further requests that the window may hold, at least 1
 * @param settling the time that an instance waits after it became a sender before it sends
 * @param memory the time for which a limit holds that no answer has confirmed
 * @param ramp the time over which a server returns to its full share after its limit is lifted
 * @since 0.2
 */
public record ServerLimitSettings(
        Duration window,
        double tolerance,
        double burst,
        Duration settling,
        Duration memory,
        Duration ramp) {

    /** Default settings, used where a platform specifies none. */
    public static final ServerLimitSettings DEFAULT =
            new ServerLimitSettings(
                    Duration.ofSeconds(4),
                    1.5,
                    5,
                    Duration.ofMillis(1_500),
                    Duration.ofMinutes(2),
                    Duration.ofSeconds(2));

    /**
     * Fractions of the tolerated excess that senders use with their first requests; the rest is for
     * instances whose view of the senders differs.
     */
    private static final double TOLERANCE_FRACTION = 0.75;

    private static final double BURST_FRACTION = 0.6;

    /**
     * Fraction of the burst that a server with a lower limit gets per window, so that instances
     * notice when it lifts the limit.
     */
    private static final double TRIAL_FRACTION = 0.2;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Validates the ranges of the components. */
    public ServerLimitSettings {
        Assert.positive(window.toNanos(), "The window of a server's limit");
        Assert.isTrue(tolerance >= 1, "A tolerance must be 1 or more, but was %s.", tolerance);
        Assert.isTrue(burst >= 1, "A burst must be 1 or more, but was %s.", burst);
        Assert.notNegative(settling.toNanos(), "A settling time");
        Assert.positive(memory.toNanos(), "The memory of a server's limit");
        Assert.positive(ramp.toNanos(), "A ramp");
    }

    /**
     * Returns the number of instances that may send to a server. Each may send one request
     * immediately and its share of the limit after that, so a window holds the limit and one
     * request for each sender.
     *
     * @param perSecond the limit in requests per second
     * @return the number of senders, at least 1
     */
    int senders(double perSecond) {
        double tolerated = (tolerance - 1) * seconds() * perSecond;
        return (int) Math.max(1, TOLERANCE_FRACTION * tolerated + BURST_FRACTION * burst);
    }

    /** Returns the rate to apply for a limit, never so low that a lifted limit goes unnoticed. */
    double rate(double perSecond) {
        return Math.max(perSecond, TRIAL_FRACTION * burst / seconds());
    }

    private double seconds() {
        return window.toNanos() / NANOS_PER_SECOND;
    }
}
