package io.masticpond.core.admission;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.RequestHead;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** Queue of waiting requests, ordered by deadline and then by arrival. */
final class DeadlineQueue implements Iterable<RequestHead> {

    private record Entry(RequestHead request, long sequence) {}

    private static final Comparator<Entry> ORDER =
            Comparator.comparingLong((Entry entry) -> entry.request().deadlineNanos())
                    .thenComparingLong(Entry::sequence);

    private final int mCapacity;
    private final TreeSet<Entry> mEntries = new TreeSet<>(ORDER);
    private final Map<RequestId, Entry> mById = new HashMap<>();
    private long mNextSequence;

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of waiting requests
     */
    DeadlineQueue(int capacity) {
        mCapacity = capacity;
    }

    /**
     * Adds a request. The caller must make room first.
     *
     * @param request the request
     * @throws IllegalStateException if the queue is full or already contains the request
     */
    void add(RequestHead request) {
        if (isFull() || contains(request.id())) {
            throw new IllegalStateException("No place for request " + request.id() + ".");
        }
        Entry entry = new Entry(request, mNextSequence++);
        mEntries.add(entry);
        mById.put(request.id(), entry);
    }

    /**
     * Removes a request.
     *
     * @param request the request
     * @return the removed request, or empty if it is not waiting
     */
    Optional<RequestHead> remove(RequestId request) {
        Entry entry = mById.remove(request);
        if (entry == null) {
            return Optional.empty();
        }
        mEntries.remove(entry);
        return Optional.of(entry.request());
    }

    /**
     * Returns the request with the earliest deadline, without removing it.
     *
     * @return the first request
     * @throws java.util.NoSuchElementException if the queue is empty
     */
    RequestHead first() {
        return mEntries.first().request();
    }

    boolean contains(RequestId request) {
        return mById.containsKey(request);
    }

    boolean isEmpty() {
        return mEntries.isEmpty();
    }

    boolean isFull() {
        return mEntries.size() >= mCapacity;
    }

    int size() {
        return mEntries.size();
    }

    /**
     * Returns an iterator over the requests in order, which must not be used after a modification.
     */
    @Override
    public Iterator<RequestHead> iterator() {
        return mEntries.stream().map(Entry::request).iterator();
    }
}
