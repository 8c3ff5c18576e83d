package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the bound on the rates of workspaces. In any window, all instances together send at
 * most (rate x window + burst) x (1 + tolerance) + slack requests of a workspace. An instance does
 * not know the requests that were sent before it started; {@link SharedRate} therefore gives out
 * less of the slack after a start.
 *
 * @param window the length of the sliding window
 * @param tolerance the tolerated excess, as a part of the rate and burst
 * @param slack the additional number of tolerated requests
 * @since 0.2
 */
public record SharedRateSettings(Duration window, double tolerance, double slack) {

    /** Default settings where the platform specifies none. */
    public static final SharedRateSettings DEFAULT =
            new SharedRateSettings(Duration.ofSeconds(5), 0.1, 10);

    /** Validates that the components are in range. */
    public SharedRateSettings {
        Assert.positive(window.toNanos(), "The window of a rate");
        Assert.isTrue(tolerance >= 0, "A tolerance must not be negative.");
        Assert.isTrue(slack >= 0, "A slack must not be negative.");
    }

    double seconds() {
        return window.toNanos() / 1e9;
    }
}
