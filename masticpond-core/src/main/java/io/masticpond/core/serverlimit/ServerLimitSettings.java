package io.masticpond.core.serverlimit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * The bound on the requests that reach a backend server which names a limit, summed over all
 * instances, and how instances stay below it.
 *
 * @param window the time in which requests are counted
 * @param tolerance how many times the limit the window may hold
 * @param burst the requests that it may hold besides
 * @param settling how long an instance waits after it became a sender
 * @param memory for how long a limit holds that no answer has confirmed
 * @param ramp how long a server takes to its full share after its limit is lifted
 * @since 0.2
 */
public record ServerLimitSettings(
        Duration window,
        double tolerance,
        double burst,
        Duration settling,
        Duration memory,
        Duration ramp) {

    /** What holds where a platform states nothing. */
    public static final ServerLimitSettings DEFAULT =
            new ServerLimitSettings(
                    Duration.ofSeconds(4),
                    1.5,
                    5,
                    Duration.ofMillis(1_500),
                    Duration.ofMinutes(2),
                    Duration.ofSeconds(2));

    /**
     * The parts of what is tolerated that senders use with their first requests; the rest is for
     * instances that see other senders.
     */
    private static final double TOLERANCE_PART = 0.75;

    private static final double BURST_PART = 0.6;

    /** A server that names a lower limit gets this part of its burst in a window, to ask again. */
    private static final double TRIAL_PART = 0.2;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks that the parts are in range. */
    public ServerLimitSettings {
        Assert.positive(window.toNanos(), "The window of a server's limit");
        Assert.isTrue(tolerance >= 1, "A tolerance must be 1 or more, but was %s.", tolerance);
        Assert.isTrue(burst >= 1, "A burst must be 1 or more, but was %s.", burst);
        Assert.notNegative(settling.toNanos(), "A settling time");
        Assert.positive(memory.toNanos(), "The memory of a server's limit");
        Assert.positive(ramp.toNanos(), "A ramp");
    }

    /**
     * Gives how many instances may send to a server. Each may send one request at once and its part
     * of the limit after that, so a window holds the limit and one request for each of them.
     *
     * @param perSecond the limit
     * @return the count, at least 1
     */
    int senders(double perSecond) {
        double tolerated = (tolerance - 1) * seconds() * perSecond;
        return (int) Math.max(1, TOLERANCE_PART * tolerated + BURST_PART * burst);
    }

    /** Gives the rate that is used: never so low that a lifted limit is not noticed. */
    double rate(double perSecond) {
        return Math.max(perSecond, TRIAL_PART * burst / seconds());
    }

    private double seconds() {
        return window.toNanos() / NANOS_PER_SECOND;
    }
}
