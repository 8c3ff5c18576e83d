package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits the calls per second to the platform and reserves a part of them for
 * writes.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class CallBudget {

    private static final double RESERVED_SHARE = 0.25;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TimeSource mTimeSource;
    private final double mCallsPerNano;
    private final double mCapacity;
    private double mTokens;
    private long mRefilledNanos;

    /** Priority of a call, which determines whether it may use the reserved part. */
    public enum Priority {
        /**
         * Calls for which a request may be waiting, such as writes; they may use the whole bucket.
         */
        URGENT,
        /** Calls that can wait; a quarter of the bucket is reserved from them. */
        ORDINARY
    }

    /**
     * Creates a full budget, which permits as many calls at once as in one second.
     *
     * @param timeSource the clock
     * @param callsPerSecond the permitted calls per second, positive
     */
    public CallBudget(TimeSource timeSource, int callsPerSecond) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        Assert.positive(callsPerSecond, "A budget of calls per second");
        mCallsPerNano = callsPerSecond / NANOS_PER_SECOND;
        mCapacity = callsPerSecond;
        mTokens = mCapacity;
        mRefilledNanos = timeSource.monotonicNanos();
    }

    /**
     * Takes one call from the budget if one is available.
     *
     * @param priority the priority of the call
     * @return whether the call may be made
     */
    public boolean tryAcquire(Priority priority) {
        refill();
        double reserved = priority == Priority.URGENT ? 0 : mCapacity * RESERVED_SHARE;
        if (mTokens - 1 < reserved && mTokens < mCapacity) {
            return false;
        }
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }

    private void refill() {
        long now = mTimeSource.monotonicNanos();
        mTokens = Math.min(mCapacity, mTokens + (now - mRefilledNanos) * mCallsPerNano);
        mRefilledNanos = now;
    }
}
