package io.masticpond.core.time;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.time.Instant;

/**
 * {@link TimeSource} whose clocks advance only on request, for tests and measurements. Thread-safe.
 *
 * @since 0.1
 */
public final class ManualTimeSource implements TimeSource {

    private Instant mInstant;
    private long mNanos;

    /**
     * Creates a time source at the given wall time, with no elapsed time.
     *
     * @param start the wall time at the start
     */
    public ManualTimeSource(Instant start) {
        mInstant = Assert.notNull(start, "A start time");
    }

    /**
     * Advances both clocks.
     *
     * @param duration the time by which to advance, not negative
     */
    public synchronized void advance(Duration duration) {
        Assert.isTrue(!duration.isNegative(), "Time must not go back, but %s was given.", duration);
        mInstant = mInstant.plus(duration);
        mNanos += duration.toNanos();
    }

    /**
     * Steps only the wall clock, as an operator or a time daemon may do.
     *
     * @param step the step, negative to go back
     */
    public synchronized void stepWallClock(Duration step) {
        mInstant = mInstant.plus(step);
    }

    @Override
    public synchronized Instant instant() {
        return mInstant;
    }

    @Override
    public synchronized long monotonicNanos() {
        return mNanos;
    }
}
