package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the bound on the retries to a service over all instances, which are all sends of a
 * request after the first.
 *
 * @param ratio the retries per request, not negative
 * @param slack the additional retries in each window, not negative
 * @param window the length of the sliding window
 * @param safety the part of the bound that is used, above 0 and at most 1
 * @since 0.2
 */
public record RetryBudgetSettings(double ratio, double slack, Duration window, double safety) {

    /** Validates that the components are in range. */
    public RetryBudgetSettings {
        Assert.isTrue(ratio >= 0, "A ratio must not be negative, but was %s.", ratio);
        Assert.isTrue(slack >= 0, "A slack must not be negative, but was %s.", slack);
        Assert.positive(window.toNanos(), "A window");
        Assert.isTrue(
                safety > 0 && safety <= 1,
                "A safety factor must be over 0 and at most 1, but was %s.",
                safety);
    }
}
