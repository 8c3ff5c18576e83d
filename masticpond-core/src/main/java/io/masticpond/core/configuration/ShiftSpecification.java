package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import java.time.LocalTime;

/**
 * Specification of a daily shift and its spending cap.
 *
 * @param name the name of the shift, such as "morning"
 * @param start the time of day at which it starts, in the service's time zone
 * @param end the time of day at which it ends; a time before the start is on the next day
 * @param capMicros the cap in millionths of the operators' currency unit
 * @since 0.1
 */
public record ShiftSpecification(String name, LocalTime start, LocalTime end, long capMicros) {

    /** Validates the components. */
    public ShiftSpecification {
        Assert.hasText(name, "A shift name");
        Assert.notNull(start, "The start of a shift");
        Assert.notNull(end, "The end of a shift");
        Assert.notNegative(capMicros, "A spending cap");
    }
}
