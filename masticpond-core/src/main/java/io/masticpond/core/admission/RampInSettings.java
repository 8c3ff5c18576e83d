package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for how fast a cold backend server gets more slots.
 *
 * @param initialSlots the initial number of usable slots
 * @param step the minimum time between two increases
 * @param answersPerSlot the good answers per usable slot that an increase requires
 * @param growth the factor of an increase, at least 1; at least one slot is added
 * @since 0.1
 */
public record RampInSettings(int initialSlots, Duration step, int answersPerSlot, double growth) {

    /** Doubles the usable slots after two good answers per slot and a quarter of a second. */
    public static final RampInSettings DEFAULT =
            new RampInSettings(1, Duration.ofMillis(250), 2, 2);

    /** Validates the components. */
    public RampInSettings {
        Assert.positive(initialSlots, "The initial number of usable slots");
        Assert.notNegative(step.toNanos(), "A ramp-in step");
        Assert.notNegative(answersPerSlot, "The answers for each slot");
        Assert.isTrue(growth >= 1, "A growth must be at least 1, but was %s.", growth);
    }
}
