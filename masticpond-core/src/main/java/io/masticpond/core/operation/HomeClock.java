package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock by which a home issues keys and determines their expiry. Thread-safe.
 *
 * <p>It is monotonic: it shows the later of the wall clock and the start time plus the time elapsed
 * since. A wall clock that steps back therefore cannot make an expired key valid again after its
 * outcome was discarded, and a machine that was suspended accounts for the missed time as soon as
 * its wall clock does.
 *
 * @since 0.1
 */
public final class HomeClock {

    private final TimeSource mTimeSource;
    private final long mStartMillis;
    private final long mStartNanos;
    private final AtomicLong mLatestMillis;

    /**
     * Creates a clock that starts at the current wall time.
     *
     * @param timeSource the clocks of the process
     */
    public HomeClock(TimeSource timeSource) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mStartMillis = timeSource.instant().toEpochMilli();
        mStartNanos = timeSource.monotonicNanos();
        mLatestMillis = new AtomicLong(mStartMillis);
    }

    /**
     * Returns the current time.
     *
     * @return milliseconds since the epoch, never less than before
     */
    public long millis() {
        long elapsedMillis =
                TimeUnit.NANOSECONDS.toMillis(mTimeSource.monotonicNanos() - mStartNanos);
        long wallMillis = mTimeSource.instant().toEpochMilli();
        return mLatestMillis.accumulateAndGet(
                Math.max(mStartMillis + elapsedMillis, wallMillis), Math::max);
    }
}
