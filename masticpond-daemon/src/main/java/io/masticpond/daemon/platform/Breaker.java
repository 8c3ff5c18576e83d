package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;

/**
 * Circuit breaker that stops calls to a failing address and probes it with a single call after a
 * delay.
 *
 * <p>A closed breaker permits all calls. After a number of consecutive failures it opens and
 * permits none; after a delay from a {@link Backoff} it permits one probe, whose result closes the
 * breaker or opens it for a longer time. A probe without a result counts as failed after a delay of
 * the same length.
 *
 * <p>Not thread-safe.
 *
 * @since 0.1
 */
public final class Breaker {

    private final TimeSource mTimeSource;
    private final int mThreshold;
    private final Backoff mBackoff;
    private State mState = State.CLOSED;
    private int mConsecutiveFailures;
    private int mOpenings;
    private long mWaitUntilNanos;

    /** State of a breaker. */
    public enum State {
        /** All calls are permitted. */
        CLOSED,
        /** No call is permitted. */
        OPEN,
        /** One probe is in flight. */
        PROBING
    }

    /**
     * Creates a closed breaker.
     *
     * @param timeSource the clock
     * @param threshold the number of consecutive failures that open the breaker, positive
     * @param backoff determines how long the breaker stays open
     */
    public Breaker(TimeSource timeSource, int threshold, Backoff backoff) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mThreshold = (int) Assert.positive(threshold, "The threshold of a breaker");
        mBackoff = Assert.notNull(backoff, "A backoff");
    }

    /**
     * Requests permission for a call; a permitted call must be made.
     *
     * @return whether the call is permitted
     */
    public boolean tryAcquirePermission() {
        if (mState == State.CLOSED) {
            return true;
        }
        if (mTimeSource.monotonicNanos() - mWaitUntilNanos < 0) {
            return false;
        }
        extendWait();
        mState = State.PROBING;
        return true;
    }

    /** Records that a call was answered, and closes the breaker. */
    public void recordSuccess() {
        mState = State.CLOSED;
        mConsecutiveFailures = 0;
        mOpenings = 0;
    }

    /** Records that a call failed. */
    public void recordFailure() {
        if (mState == State.OPEN) {
            return;
        }
        mConsecutiveFailures++;
        if (mState == State.PROBING || mConsecutiveFailures >= mThreshold) {
            mState = State.OPEN;
            extendWait();
        }
    }

    /**
     * Returns the state.
     *
     * @return the state
     */
    public State state() {
        return mState;
    }

    private void extendWait() {
        mOpenings++;
        mWaitUntilNanos = mTimeSource.monotonicNanos() + mBackoff.delay(mOpenings).toNanos();
    }
}
