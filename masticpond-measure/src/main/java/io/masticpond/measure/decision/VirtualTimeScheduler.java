package io.masticpond.measure.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Scheduler on a virtual clock. Actions run in the order of their times, and those of equal times
 * in the order in which they were scheduled.
 *
 * <p>Not thread-safe.
 */
final class VirtualTimeScheduler {

    private record Event(long atNanos, long sequenceNumber, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos)
                            .thenComparingLong(Event::sequenceNumber));
    private long mNowNanos;
    private long mNextSequenceNumber;

    long nowNanos() {
        return mNowNanos;
    }

    void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + Math.max(0, nanos), mNextSequenceNumber++, action));
    }

    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= endNanos) {
            Event event = mEvents.remove();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }
}
