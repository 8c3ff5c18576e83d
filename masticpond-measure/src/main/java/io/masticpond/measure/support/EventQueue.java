package io.masticpond.measure.support;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * Event queue in virtual time, which runs actions in the order of their due times, so that a
 * measure never waits in real time.
 *
 * <p>Actions due at the same time run in the order in which they were scheduled. Not thread-safe.
 *
 * @since 0.1
 */
public final class EventQueue {

    private final ManualTimeSource mTimeSource = new ManualTimeSource(Instant.EPOCH);
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNextSequence;

    /**
     * Returns the clock that this queue advances.
     *
     * @return the clock
     */
    public ManualTimeSource timeSource() {
        return mTimeSource;
    }

    /**
     * Returns the virtual time.
     *
     * @return nanoseconds since the start
     */
    public long nanos() {
        return mTimeSource.monotonicNanos();
    }

    /**
     * Schedules an action at an absolute virtual time.
     *
     * @param nanos the time in nanoseconds since the start, not in the past
     * @param action the action
     */
    public void schedule(long nanos, Runnable action) {
        Assert.isTrue(
                nanos >= nanos(), "An action must not be due in the past, but was at %d.", nanos);
        mEvents.add(new Event(nanos, mNextSequence++, action));
    }

    /**
     * Schedules an action after a delay.
     *
     * @param delayNanos the delay in nanoseconds, not negative
     * @param action the action
     */
    public void after(long delayNanos, Runnable action) {
        schedule(nanos() + delayNanos, action);
    }

    /** Runs all actions until the queue is empty. */
    public void run() {
        runUntil(Long.MAX_VALUE);
    }

    /**
     * Runs the actions that are due up to a time, and advances the clock to that time.
     *
     * @param nanos the time in nanoseconds since the start, inclusive
     */
    public void runUntil(long nanos) {
        while (!mEvents.isEmpty() && mEvents.peek().nanos() <= nanos) {
            Event event = mEvents.remove();
            mTimeSource.advance(Duration.ofNanos(event.nanos() - nanos()));
            event.action().run();
        }
        if (nanos != Long.MAX_VALUE && nanos > nanos()) {
            mTimeSource.advance(Duration.ofNanos(nanos - nanos()));
        }
    }

    private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int order = Long.compare(nanos, other.nanos);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }
}
