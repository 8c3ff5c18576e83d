package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Says how fast a cold backend server gets more slots.
 *
 * @param initialSlots the usable slots at first
 * @param step the least time between two steps up
 * @param answersPerSlot how many good answers for each usable slot a step up takes
 * @param growth the factor of a step up; at least one slot is added
 * @since 0.1
 */
public record RampInSettings(int initialSlots, Duration step, int answersPerSlot, double growth) {

    /** Doubles the usable slots after two good answers on each and a quarter of a second. */
    public static final RampInSettings DEFAULT =
            new RampInSettings(1, Duration.ofMillis(250), 2, 2);

    /** Checks the parts. */
    public RampInSettings {
        Assert.positive(initialSlots, "The first usable slots");
        Assert.notNegative(step.toNanos(), "A ramp-in step");
        Assert.notNegative(answersPerSlot, "The answers for each slot");
        Assert.isTrue(growth >= 1, "A growth must be at least 1, but was %s.", growth);
    }
}
