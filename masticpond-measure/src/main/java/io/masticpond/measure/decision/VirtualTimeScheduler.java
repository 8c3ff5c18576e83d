package io.masticpond.measure.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs what is due in the order of its time; equal times in the order in which they were set. */
final class VirtualTimeScheduler {

    private record Event(long atNanos, long number, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long mNowNanos;
    private long mNumber;

    long nowNanos() {
        return mNowNanos;
    }

    void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNowNanos + Math.max(0, nanos), mNumber++, action));
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
