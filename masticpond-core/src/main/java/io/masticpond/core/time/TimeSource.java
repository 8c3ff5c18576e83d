package io.masticpond.core.time;

import java.time.InstantSource;

/**
 * Strategy interface for access to the wall time and to the elapsed time, which are two clocks that
 * must not be mixed.
 *
 * <p>Wall time ({@link #instant}) may jump; use it for shifts and for display. Elapsed time ({@link
 * #monotonicNanos}) never jumps; use it for timeouts, deadlines and rates.
 *
 * @since 0.1
 * @see ManualTimeSource
 */
public interface TimeSource extends InstantSource {

    /**
     * Returns the elapsed time since an arbitrary origin of this process.
     *
     * @return nanoseconds, of which only differences are meaningful
     */
    long monotonicNanos();
}
