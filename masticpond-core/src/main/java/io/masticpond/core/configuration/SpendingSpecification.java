package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Specification of the spending caps of a service.
 *
 * @param timeZone the time zone of the shifts, such as "Africa/Casablanca"
 * @param shifts the shifts of each day, at least one
 * @since 0.1
 */
public record SpendingSpecification(String timeZone, List<ShiftSpecification> shifts) {

    /** Validates the components. The planner validates that the time zone exists. */
    public SpendingSpecification {
        Assert.hasText(timeZone, "A time zone");
        shifts = List.copyOf(Assert.notEmpty(shifts, "The shifts of a service"));
    }
}
