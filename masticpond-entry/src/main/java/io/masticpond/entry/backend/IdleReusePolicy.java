package io.masticpond.entry.backend;

import java.util.concurrent.TimeUnit;

/**
 * Says how long a connection may have been idle and still be used again. Servers forget idle
 * connections sooner than they state, or fall silent; what is sent on such a connection is lost,
 * and whether it ran is not known. So, for a while after a reset, connections to all servers are
 * used again only when they were idle for less. A request that may not be repeated then waits for a
 * new connection unless one was used just now; so it does after a connection that did not open in
 * time.
 */
final class IdleReusePolicy {

    /** No limit is in force. */
    static final long NONE = Long.MAX_VALUE;

    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long LEAST_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int LIMIT_DIVISOR = 2;

    /** A reset that takes this many round trips is no answer to the first bytes of a request. */
    private static final int MOST_ROUND_TRIPS = 3;

    private static final long ROUND_TRIP_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private long mLimitNanos = NONE;
    private long mUntilNanos;
    private boolean mDistrusts;
    private long mDistrustsUntilNanos;

    /**
     * Hears that a used connection was broken off before any byte of an answer.
     *
     * @param idleNanos how long the connection had been idle before the request
     * @param tookNanos how long the request had been on its way
     * @param roundTripNanos how long the connection took to open
     * @param nowNanos the time
     */
    void brokenOff(long idleNanos, long tookNanos, long roundTripNanos, long nowNanos) {
        long prompt = MOST_ROUND_TRIPS * roundTripNanos + ROUND_TRIP_SLACK_NANOS;
        if (tookNanos > prompt || idleNanos <= LEAST_NANOS) {
            return;
        }
        long learnt = Math.max(LEAST_NANOS, idleNanos / LIMIT_DIVISOR);
        mLimitNanos = Math.min(learnt, limitNanos(nowNanos));
        mUntilNanos = nowNanos + KEPT_NANOS;
        restrictReuse(nowNanos);
    }

    /**
     * Hears that a connection did not open in time, so that others may be dead as well.
     *
     * @param nowNanos the time
     */
    void notOpened(long nowNanos) {
        restrictReuse(nowNanos);
    }

    /** Gives the longest idle time of a connection that may be used again. */
    long limitNanos(long nowNanos) {
        return mLimitNanos != NONE && mUntilNanos - nowNanos > 0 ? mLimitNanos : NONE;
    }

    /** Gives the longest idle time of a connection that may be used for a request. */
    long limitNanos(boolean repeatable, long nowNanos) {
        boolean isCareful = mDistrusts && mDistrustsUntilNanos - nowNanos > 0;
        return isCareful && !repeatable ? LEAST_NANOS : limitNanos(nowNanos);
    }

    private void restrictReuse(long nowNanos) {
        mDistrusts = true;
        mDistrustsUntilNanos = nowNanos + KEPT_NANOS;
    }
}
