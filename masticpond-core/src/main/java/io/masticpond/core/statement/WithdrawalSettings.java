package io.masticpond.core.statement;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of the times for which the withdrawal of a backend server counts.
 *
 * @param memory the time for which a statement is kept after its server appears to have restarted;
 *     a registry entry that was lost and created again looks the same as a restart
 * @param longestPause the upper bound of a pause; longer requests are cut to it
 * @param ramp the time over which a server returns to its full share after a pause, at most the
 *     length of the pause
 * @since 0.2
 */
public record WithdrawalSettings(Duration memory, Duration longestPause, Duration ramp) {

    /** Default settings, used where a platform specifies none. */
    public static final WithdrawalSettings DEFAULT =
            new WithdrawalSettings(
                    Duration.ofMinutes(2), Duration.ofMinutes(10), Duration.ofMillis(1_500));

    /** Validates the ranges of the components. */
    public WithdrawalSettings {
        Assert.positive(memory.toNanos(), "The memory of a withdrawal");
        Assert.positive(longestPause.toNanos(), "The longest pause");
        Assert.positive(ramp.toNanos(), "A ramp");
    }
}
