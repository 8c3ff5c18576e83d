package io.masticpond.core.statement;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * For how long it counts that a backend server has withdrawn.
 *
 * @param memory for how long a statement outlives what seems to be another run of its server: an
 *     entry that was lost and made anew looks the same
 * @since 0.2
 */
public record WithdrawalSettings(Duration memory) {

    /** What holds where a platform states nothing. */
    public static final WithdrawalSettings DEFAULT = new WithdrawalSettings(Duration.ofMinutes(2));

    /** Checks that the parts are in range. */
    public WithdrawalSettings {
        Assert.positive(memory.toNanos(), "The memory of a withdrawal");
    }
}
