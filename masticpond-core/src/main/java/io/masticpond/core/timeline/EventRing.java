package io.masticpond.core.timeline;

import java.util.Collection;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** Lock-free ring buffer of the newest events of one part. Thread-safe. */
final class EventRing {

    private final AtomicReferenceArray<Entry> mEntries;
    private final AtomicLong mNextSequence = new AtomicLong();

    EventRing(int capacity) {
        mEntries = new AtomicReferenceArray<>(capacity);
    }

    /**
     * Adds an event, overwriting the oldest one if the ring is full.
     *
     * <p>A writer that was delayed while other writers filled the whole ring finds a newer event in
     * its slot and does not overwrite it.
     */
    void add(TimelineEvent event) {
        Entry entry = new Entry(mNextSequence.getAndIncrement(), event);
        int slot = (int) (entry.sequence() % mEntries.length());
        Entry present = mEntries.get(slot);
        while (present == null || present.sequence() < entry.sequence()) {
            if (mEntries.compareAndSet(slot, present, entry)) {
                return;
            }
            present = mEntries.get(slot);
        }
    }

    /** Adds the events that match a query to a collection, in no particular order. */
    void collect(TimelineQuery query, Collection<TimelineEvent> found) {
        for (int slot = 0; slot < mEntries.length(); slot++) {
            Entry entry = mEntries.get(slot);
            if (entry != null && query.matches(entry.event())) {
                found.add(entry.event());
            }
        }
    }

    /** Returns the number of events that were overwritten. */
    long overwritten() {
        return Math.max(0, mNextSequence.get() - mEntries.length());
    }

    /** Event with its sequence number in the order of arrival. */
    private record Entry(long sequence, TimelineEvent event) {}
}
