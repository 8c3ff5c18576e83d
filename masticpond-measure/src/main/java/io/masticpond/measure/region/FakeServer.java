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
 * A backend server that counts its work itself, whoever sent it.
 *
 * <p>Its cache is cold for the traffic of a region that it has not served: the first requests take
 * three times as long, and the excess falls by a factor of e with every 30 requests.
 */
final class FakeServer {

    private static final double COLD_EXCESS = 2;
    private static final double WARMING_REQUESTS = 30;

    private final BackendServerSpecification mSpecification;
    private final EventQueue mEvents;
    private final Map<RegionId, Integer> mServed = new HashMap<>();
    private final Set<Work> mWork = new HashSet<>();
    private boolean mAlive = true;
    private int mPeak;

    FakeServer(BackendServerSpecification specification, EventQueue events) {
        mSpecification = specification;
        mEvents = events;
    }

    BackendServerSpecification specification() {
        return mSpecification;
    }

    boolean isAlive() {
        return mAlive;
    }

    int inFlight() {
        return mWork.size();
    }

    double peakUse() {
        return (double) mPeak / mSpecification.slots();
    }

    void forgetPeak() {
        mPeak = mWork.size();
    }

    /** Takes the cache for the traffic of a region as warm. */
    void warm(RegionId origin) {
        mServed.put(origin, Integer.MAX_VALUE);
    }

    /**
     * Works on a request until it is done or its deadline passes.
     *
     * @param origin the region of the client
     * @param warmNanos how long the work takes with a warm cache
     * @param deadlineNanos when the server gives up
     * @param end takes whether the work was done; the alternative is that the server died
     */
    void start(RegionId origin, long warmNanos, long deadlineNanos, WorkListener end) {
        Work work = new Work(end);
        mWork.add(work);
        mPeak = Math.max(mPeak, mWork.size());
        int served = mServed.merge(origin, 1, (a, b) -> a == Integer.MAX_VALUE ? a : a + b);
        double factor = 1 + COLD_EXCESS * Math.exp(-served / WARMING_REQUESTS);
        long nanos = (long) (warmNanos * factor);
        boolean inTime = mEvents.nanos() + nanos <= deadlineNanos;
        long until = Math.max(mEvents.nanos(), inTime ? mEvents.nanos() + nanos : deadlineNanos);
        mEvents.schedule(
                until,
                () -> {
                    if (mWork.remove(work)) {
                        end.ended(inTime ? WorkEnd.DONE : WorkEnd.TOO_LATE);
                    }
                });
    }

    void terminate() {
        mAlive = false;
        List<Work> broken = new ArrayList<>(mWork);
        mWork.clear();
        mServed.clear();
        broken.forEach(work -> work.mEnd.ended(WorkEnd.SERVER_TERMINATED));
    }

    void startCold() {
        mAlive = true;
    }

    /** How work at a server ended. */
    enum WorkEnd {
        DONE,
        TOO_LATE,
        SERVER_TERMINATED
    }

    /** Takes the end of work. */
    interface WorkListener {
        void ended(WorkEnd end);
    }

    private static final class Work {
        private final WorkListener mEnd;

        Work(WorkListener end) {
            mEnd = end;
        }
    }
}
