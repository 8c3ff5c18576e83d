package io.masticpond.measure.region;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.measure.support.EventQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Fake backend server that counts all of its requests itself, independently of their sender.
 *
 * <p>The cache is cold for traffic of a region that the server has not served since it last
 * started, unless it is marked as warm: the first requests take three times as long, and the excess
 * decreases by a factor of e with every 30 requests.
 */
final class FakeServer {

    private static final double COLD_EXCESS = 2;
    private static final double WARM_UP_REQUESTS = 30;

    private final BackendServerSpecification mSpecification;
    private final EventQueue mEvents;
    private final Map<RegionId, Integer> mServed = new HashMap<>();
    private final Set<Work> mWork = new HashSet<>();
    private boolean mRunning = true;
    private int mPeakInFlight;

    FakeServer(BackendServerSpecification specification, EventQueue events) {
        mSpecification = specification;
        mEvents = events;
    }

    BackendServerSpecification specification() {
        return mSpecification;
    }

    boolean isRunning() {
        return mRunning;
    }

    int inFlight() {
        return mWork.size();
    }

    double peakUse() {
        return (double) mPeakInFlight / mSpecification.slots();
    }

    void resetPeak() {
        mPeakInFlight = mWork.size();
    }

    /** Marks the cache as warm for the traffic of a region. */
    void warm(RegionId origin) {
        mServed.put(origin, Integer.MAX_VALUE);
    }

    /**
     * Processes a request until it is done or its deadline passes.
     *
     * @param origin the region of the client
     * @param warmNanos the service time with a warm cache, in nanoseconds
     * @param deadlineNanos the virtual time at which the server abandons the request
     * @param listener notified of the end: done, too late, or interrupted by the termination of the
     *     server
     */
    void start(RegionId origin, long warmNanos, long deadlineNanos, WorkListener listener) {
        Work work = new Work(listener);
        mWork.add(work);
        mPeakInFlight = Math.max(mPeakInFlight, mWork.size());
        int served = mServed.merge(origin, 1, (a, b) -> a == Integer.MAX_VALUE ? a : a + b);
        double factor = 1 + COLD_EXCESS * Math.exp(-served / WARM_UP_REQUESTS);
        long nanos = (long) (warmNanos * factor);
        boolean inTime = mEvents.nanos() + nanos <= deadlineNanos;
        long endNanos = Math.max(mEvents.nanos(), inTime ? mEvents.nanos() + nanos : deadlineNanos);
        mEvents.schedule(
                endNanos,
                () -> {
                    if (mWork.remove(work)) {
                        listener.ended(inTime ? WorkEnd.DONE : WorkEnd.TOO_LATE);
                    }
                });
    }

    void terminate() {
        mRunning = false;
        List<Work> interrupted = new ArrayList<>(mWork);
        mWork.clear();
        mServed.clear();
        interrupted.forEach(work -> work.mListener.ended(WorkEnd.DIED));
    }

    void startCold() {
        mRunning = true;
    }

    /** Ways in which the processing of a request ends. */
    enum WorkEnd {
        DONE,
        TOO_LATE,
        DIED
    }

    /** Callback interface for the end of processing. */
    interface WorkListener {
        void ended(WorkEnd end);
    }

    private static final class Work {
        private final WorkListener mListener;

        Work(WorkListener listener) {
            mListener = listener;
        }
    }
}
