package io.masticpond.measure.spending;

import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;

/** {@link TimeSource} of an instance whose wall clock is off by a constant error. */
record SkewedTimeSource(TimeSource trueTime, Duration error) implements TimeSource {

    @Override
    public Instant instant() {
        return trueTime.instant().plus(error);
    }

    @Override
    public long monotonicNanos() {
        return trueTime.monotonicNanos();
    }
}
