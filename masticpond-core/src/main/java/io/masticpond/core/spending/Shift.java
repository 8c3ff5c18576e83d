package io.masticpond.core.spending;

import io.masticpond.core.id.ShiftId;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.time.Instant;

/**
 * Shift on one day.
 *
 * @param id the shift
 * @param name the name in the configuration, which is the same every day
 * @param start the first moment in it
 * @param end the first moment after it
 * @param capMicros its cap in millionths of the operators' currency unit
 * @since 0.1
 */
public record Shift(ShiftId id, String name, Instant start, Instant end, long capMicros) {

    /** Validates the components. */
    public Shift {
        Assert.notNull(id, "A shift id");
        Assert.hasText(name, "A shift name");
        Assert.isTrue(start.isBefore(end), "A shift must end after its start at %s.", start);
        Assert.notNegative(capMicros, "A spending cap");
    }

    /**
     * Determines whether the shift contains a moment.
     *
     * @param moment the moment
     * @return whether it is at or after the start and before the end
     */
    public boolean contains(Instant moment) {
        return !moment.isBefore(start) && moment.isBefore(end);
    }

    /**
     * Returns the length of the shift.
     *
     * @return the length, positive
     */
    public Duration length() {
        return Duration.between(start, end);
    }
}
