package io.masticpond.core.timeline;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongUnaryOperator;

/**
 * Hybrid logical clock, whose times increase with the causal order, after Kulkarni and others,
 * "Logical Physical Clocks" (2014). Uses the packed form of {@link HybridTime}.
 *
 * <p>A time is always greater than every time returned or merged before, even if the wall clock is
 * set back. When the counter of a millisecond overflows, it carries into the next millisecond. A
 * remote time that is too far ahead is not merged, so that a single wrong clock cannot advance the
 * clocks of all instances; the events after it are then ordered by wall time only.
 *
 * <p>Thread-safe and lock-free.
 *
 * @since 0.1
 */
public final class HybridLogicalClock {

    /** The default of the maximum drift that is accepted from remote clocks. */
    public static final Duration DEFAULT_MAXIMUM_DRIFT = Duration.ofSeconds(10);

    private final InstantSource mWallClock;
    private final long mMaximumDriftMillis;
    private final AtomicLong mLast = new AtomicLong();
    private final LongAdder mRejectedRemoteTimes = new LongAdder();

    /**
     * Creates a clock with the default maximum drift.
     *
     * @param wallClock the wall clock of this machine
     */
    public HybridLogicalClock(InstantSource wallClock) {
        this(wallClock, DEFAULT_MAXIMUM_DRIFT);
    }

    /**
     * Creates a clock with the given maximum drift.
     *
     * @param wallClock the wall clock of this machine
     * @param maximumDrift how far ahead of the wall clock a remote time may be, positive
     */
    public HybridLogicalClock(InstantSource wallClock, Duration maximumDrift) {
        mWallClock = Assert.notNull(wallClock, "A wall clock");
        mMaximumDriftMillis = Assert.positive(maximumDrift.toMillis(), "A maximum drift");
    }

    /**
     * Returns the time of a local event, such as the sending of a message.
     *
     * @return a time greater than every time before
     */
    public HybridTime now() {
        long wall = wallPacked();
        return advance(last -> Math.max(last + 1, wall));
    }

    /**
     * Merges the time of a received message and returns the time of its receipt.
     *
     * @param remote the time that the message carries
     * @return a time greater than every time before and, unless it was too far ahead, than the
     *     remote time
     */
    public HybridTime merge(HybridTime remote) {
        long wall = wallPacked();
        long lead = remote.wallMillis() - (wall >> HybridTime.COUNTER_BITS);
        if (lead > mMaximumDriftMillis) {
            mRejectedRemoteTimes.increment();
            return advance(last -> Math.max(last + 1, wall));
        }
        long lowerBound = Math.max(wall, remote.packed() + 1);
        return advance(last -> Math.max(last + 1, lowerBound));
    }

    /**
     * Returns the lead of this clock over the wall clock, for example after the wall clock was set
     * back.
     *
     * @return the lead in milliseconds, or zero if there is none
     */
    public long leadMillis() {
        long wallMillis = wallPacked() >> HybridTime.COUNTER_BITS;
        return Math.max(0, (mLast.get() >> HybridTime.COUNTER_BITS) - wallMillis);
    }

    /**
     * Returns the number of remote times that were rejected because they were too far ahead.
     *
     * @return the number since the start of the process
     */
    public long rejectedRemoteTimes() {
        return mRejectedRemoteTimes.sum();
    }

    private HybridTime advance(LongUnaryOperator step) {
        return new HybridTime(mLast.updateAndGet(step));
    }

    private long wallPacked() {
        return Math.max(0, mWallClock.instant().toEpochMilli()) << HybridTime.COUNTER_BITS;
    }
}
