package io.masticpond.core.time;

import java.time.Instant;

/**
 * {@link TimeSource} of the clocks of the machine.
 *
 * @since 0.1
 */
public final class SystemTimeSource implements TimeSource {

    @Override
    public Instant instant() {
        return Instant.now();
    }

    /**
     * Reads the clock without creating an {@link Instant}, since every request calls this method.
     */
    @Override
    public long millis() {
        return System.currentTimeMillis();
    }

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }
}
