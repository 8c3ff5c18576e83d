package io.masticpond.core.statement;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * For how long it counts that a backend server has withdrawn.
 *
 * @param memory for how long a statement outlives what seems to be another run of its server: an
 *     entry that was lost and made anew looks the same
 * @param longestPause the longest pause that a server gets, whatever it asks for
 * @param ramp how long a server takes to its full share after a pause, at most as long as that
 * @since 0.2
 */
public record WithdrawalSettings(Duration memory, Duration longestPause, Duration ramp) {

    /** What holds where a platform states nothing. */
    public static final WithdrawalSettings DEFAULT =
            new WithdrawalSettings(
                    Duration.ofMinutes(2), Duration.ofMinutes(10), Duration.ofMillis(1_500));

    /** Checks that the parts are in range. */
    public WithdrawalSettings {
        Assert.positive(memory.toNanos(), "The memory of a withdrawal");
        Assert.positive(longestPause.toNanos(), "The longest pause");
        Assert.positive(ramp.toNanos(), "A ramp");
    }
}
