package io.masticpond.daemon.lifecycle;

import io.masticpond.core.support.Assert;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counter of the requests in flight, which admits no further requests once it is closed.
 *
 * <p>The count and the closed state are a single atomic value. A request is therefore either
 * counted by {@link #closeIfIdle}, which then does not close, or refused by {@link #tryEnter}. All
 * entrances of a process share one intake. Thread-safe.
 *
 * @since 0.1
 */
public final class RequestIntake {

    private static final long CLOSED = 1;
    private static final long ONE_REQUEST = 2;

    /** Twice the number of requests, plus one if the intake is closed. */
    private final AtomicLong mState = new AtomicLong();

    /**
     * Admits a request. Each admitted request must be followed by one call of {@link #leave}, once
     * its answer has been written or can no longer be written.
     *
     * @return whether the request is admitted; {@code false} once the intake is closed
     */
    public boolean tryEnter() {
        long before = mState.getAndUpdate(state -> isClosed(state) ? state : state + ONE_REQUEST);
        return !isClosed(before);
    }

    /** Records the end of an admitted request. */
    public void leave() {
        long after = mState.addAndGet(-ONE_REQUEST);
        Assert.isTrue(after >= 0, "More requests ended than were admitted.");
    }

    /**
     * Closes the intake if no request is in flight.
     *
     * @return whether the intake is closed and no request is in flight
     */
    public boolean closeIfIdle() {
        return mState.compareAndSet(0, CLOSED) || mState.get() == CLOSED;
    }

    /** Closes the intake, whether requests are in flight or not. */
    public void close() {
        mState.getAndUpdate(state -> state | CLOSED);
    }

    /**
     * Determines whether the intake is closed.
     *
     * @return {@code true} once it is closed
     */
    public boolean isClosed() {
        return isClosed(mState.get());
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the count
     */
    public long count() {
        return mState.get() / ONE_REQUEST;
    }

    private static boolean isClosed(long state) {
        return (state & CLOSED) != 0;
    }
}
