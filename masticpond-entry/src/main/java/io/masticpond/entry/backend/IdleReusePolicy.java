package io.masticpond.entry.backend;

import java.util.concurrent.TimeUnit;

/**
 * Policy for how long a connection may have been idle and still be reused. Servers drop idle
 * connections sooner than they state, or become unresponsive; a request sent on such a connection
 * is lost, and it is unknown whether it ran. Therefore, for a while after a reset, connections to
 * all servers are reused only if they were idle for a shorter time. Meanwhile a request that may
 * not be repeated is sent on a new connection unless one was used just before; the same holds after
 * a connection did not open in time.
 */
final class IdleReusePolicy {

    /** Value for no limit. */
    static final long UNLIMITED = Long.MAX_VALUE;

    private static final long RESTRICTION_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long MINIMUM_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int LIMIT_DIVISOR = 2;

    /**
     * A reset that takes longer than this many round trips is not a reaction to the first bytes of
     * a request.
     */
    private static final int MAXIMUM_ROUND_TRIPS = 3;

    private static final long ROUND_TRIP_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private long mLimitNanos = UNLIMITED;
    private long mLimitUntilNanos;
    private boolean mReuseRestricted;
    private long mReuseRestrictedUntilNanos;

    /**
     * Records that a reused connection was broken off before any byte of an answer was received.
     *
     * @param idleNanos how long the connection had been idle before the request
     * @param elapsedNanos the time from the sending of the request to the end of the connection
     * @param roundTripNanos the time that the connection took to open
     * @param nowNanos the time
     */
    void brokenOff(long idleNanos, long elapsedNanos, long roundTripNanos, long nowNanos) {
        long promptNanos = MAXIMUM_ROUND_TRIPS * roundTripNanos + ROUND_TRIP_SLACK_NANOS;
        if (elapsedNanos > promptNanos || idleNanos <= MINIMUM_LIMIT_NANOS) {
            return;
        }
        long loweredNanos = Math.max(MINIMUM_LIMIT_NANOS, idleNanos / LIMIT_DIVISOR);
        mLimitNanos = Math.min(loweredNanos, limitNanos(nowNanos));
        mLimitUntilNanos = nowNanos + RESTRICTION_NANOS;
        restrictReuse(nowNanos);
    }

    /**
     * Records that a connection did not open in time, in which case others may be dead as well.
     *
     * @param nowNanos the time
     */
    void openTimedOut(long nowNanos) {
        restrictReuse(nowNanos);
    }

    /** Returns the maximum idle time of a connection that may be reused. */
    long limitNanos(long nowNanos) {
        return mLimitNanos != UNLIMITED && mLimitUntilNanos - nowNanos > 0
                ? mLimitNanos
                : UNLIMITED;
    }

    /** Returns the maximum idle time of a connection that may be reused for a request. */
    long limitNanos(boolean repeatable, long nowNanos) {
        boolean isRestricted = mReuseRestricted && mReuseRestrictedUntilNanos - nowNanos > 0;
        return isRestricted && !repeatable ? MINIMUM_LIMIT_NANOS : limitNanos(nowNanos);
    }

    private void restrictReuse(long nowNanos) {
        mReuseRestricted = true;
        mReuseRestrictedUntilNanos = nowNanos + RESTRICTION_NANOS;
    }
}
