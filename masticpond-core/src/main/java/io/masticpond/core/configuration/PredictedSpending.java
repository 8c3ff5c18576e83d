package io.masticpond.core.configuration;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.OptionalLong;

/**
 * Predicted spending of a service in a shift.
 *
 * @param service the service
 * @param shift the name of the shift
 * @param capMicros the cap in millionths of the operators' currency unit
 * @param expectedMicros the predicted spending at the observed rate, or empty if no rate was
 *     observed
 * @param allottedMicros the amount that instances hold or have spent in the current shift, or empty
 *     if it is not known
 * @since 0.1
 */
public record PredictedSpending(
        ServiceId service,
        String shift,
        long capMicros,
        OptionalLong expectedMicros,
        OptionalLong allottedMicros) {

    /** Validates the components. */
    public PredictedSpending {
        Assert.notNull(service, "A service id");
        Assert.hasText(shift, "A shift name");
        Assert.notNegative(capMicros, "A spending cap");
        Assert.notNull(expectedMicros, "An expected spending");
        Assert.notNull(allottedMicros, "An allotted amount");
    }
}
