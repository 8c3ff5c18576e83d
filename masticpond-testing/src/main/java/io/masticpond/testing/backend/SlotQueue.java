package io.masticpond.testing.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** Slots of a backend server and the queue of requests that wait for a slot. Not thread-safe. */
final class SlotQueue<T> {

    private final int mSlots;
    private final int mCapacity;
    private final Deque<T> mWaiting = new ArrayDeque<>();
    private int mRunning;
    private int mHighestInFlight;

    /** Result of the arrival of a request. */
    enum Arrival {
        RUNS,
        WAITS,
        SHED
    }

    SlotQueue(int slots, int capacity) {
        mSlots = slots;
        mCapacity = capacity;
    }

    Arrival arrive(T request) {
        if (mRunning < mSlots) {
            mRunning++;
            recordInFlight();
            return Arrival.RUNS;
        }
        if (mWaiting.size() >= mCapacity) {
            return Arrival.SHED;
        }
        mWaiting.add(request);
        recordInFlight();
        return Arrival.WAITS;
    }

    /** Finishes a running request and passes its slot to the returned request, which now runs. */
    Optional<T> finish() {
        T next = mWaiting.poll();
        if (next == null) {
            mRunning--;
        }
        return Optional.ofNullable(next);
    }

    boolean withdraw(T request) {
        return mWaiting.remove(request);
    }

    List<T> removeWaiting() {
        List<T> removed = List.copyOf(mWaiting);
        mWaiting.clear();
        return removed;
    }

    int inFlight() {
        return mRunning + mWaiting.size();
    }

    int highestInFlight() {
        return mHighestInFlight;
    }

    void resetHighest() {
        mHighestInFlight = inFlight();
    }

    private void recordInFlight() {
        mHighestInFlight = Math.max(mHighestInFlight, inFlight());
    }
}
