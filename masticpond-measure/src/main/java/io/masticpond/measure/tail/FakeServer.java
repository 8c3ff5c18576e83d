package io.masticpond.measure.tail;

import io.masticpond.measure.support.EventQueue;
import java.util.ArrayDeque;
import java.util.Queue;

/** Fake backend server that processes as many requests as it has slots and queues the rest. */
final class FakeServer {

    private record Work(long nanos, Runnable done) {}

    private final EventQueue mEvents;
    private final int mSlots;
    private final Queue<Work> mQueue = new ArrayDeque<>();
    private int mRunning;
    private int mPeakLoad;
    private long mLastUpdateNanos;
    private long mOverloadedNanos;

    FakeServer(EventQueue events, int slots) {
        mEvents = events;
        mSlots = slots;
    }

    /**
     * Submits a request.
     *
     * @param nanos the service time in nanoseconds
     * @param done called on completion
     */
    void submit(long nanos, Runnable done) {
        updateOverloadedTime();
        mQueue.add(new Work(nanos, done));
        mPeakLoad = Math.max(mPeakLoad, load());
        startNext();
    }

    /**
     * Returns the number of requests that this server processes or queues.
     *
     * @return the number of requests
     */
    int load() {
        return mRunning + mQueue.size();
    }

    int slots() {
        return mSlots;
    }

    /**
     * Returns the peak load so far as a fraction of the slots.
     *
     * @return the fraction, above 1 if a request was ever queued
     */
    double peakUse() {
        return (double) mPeakLoad / mSlots;
    }

    /**
     * Returns the total time for which this server had more requests than slots.
     *
     * @return the time in nanoseconds
     */
    long overloadedNanos() {
        return mOverloadedNanos;
    }

    private void updateOverloadedTime() {
        long nanos = mEvents.nanos();
        if (load() > mSlots) {
            mOverloadedNanos += nanos - mLastUpdateNanos;
        }
        mLastUpdateNanos = nanos;
    }

    private void startNext() {
        if (mRunning >= mSlots || mQueue.isEmpty()) {
            return;
        }
        Work work = mQueue.remove();
        mRunning++;
        mEvents.after(work.nanos(), () -> complete(work));
    }

    private void complete(Work work) {
        updateOverloadedTime();
        mRunning--;
        startNext();
        work.done().run();
    }
}
