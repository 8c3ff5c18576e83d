package io.masticpond.core.admission;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.RequestHead;
import java.util.Optional;

/**
 * Check that finds the request to refuse when not all waiting requests can meet their deadlines.
 */
final class OverloadCheck {

    private final WaitEstimator mEstimator;

    /**
     * Creates a check.
     *
     * @param estimator the estimator of the time for which slots are held
     */
    OverloadCheck(WaitEstimator estimator) {
        mEstimator = estimator;
    }

    /**
     * Estimates the wait of a request.
     *
     * @param ahead the number of waiting requests ahead
     * @param counts the slot counts
     * @param nanos the current monotonic time, in nanoseconds
     * @return nanoseconds
     */
    long waitNanos(int ahead, SlotCounts counts, long nanos) {
        int working = counts.free() + counts.busy();
        if (working == 0 && counts.nextReleaseNanos() != Long.MAX_VALUE) {
            long release = Math.max(0, counts.nextReleaseNanos() - nanos);
            return release + mEstimator.waitNanos(ahead, 1, 0);
        }
        return mEstimator.waitNanos(ahead, counts.free(), counts.busy());
    }

    /**
     * Finds the first request that is not expected to meet its deadline, and returns the request
     * with the lowest priority among it and those ahead. Refusing that request preserves the order
     * of the others.
     *
     * @param queue the waiting requests in order
     * @param newest the request to prefer for refusal among those with the same priority
     * @param counts the slot counts
     * @param nanos the current monotonic time, in nanoseconds
     * @return the request to refuse, or empty if all are expected to meet their deadlines
     */
    Optional<RequestHead> findRequestToRefuse(
            DeadlineQueue queue, RequestId newest, SlotCounts counts, long nanos) {
        if (isClearlyFeasible(queue, counts, nanos)) {
            return Optional.empty();
        }
        int ahead = 0;
        RequestHead lowest = null;
        for (RequestHead request : queue) {
            lowest = lowerPriority(lowest, request, newest);
            long expectedNanos =
                    nanos + waitNanos(ahead, counts, nanos) + neededNanos(ahead, counts);
            if (expectedNanos - request.deadlineNanos() > 0) {
                return Optional.of(lowest);
            }
            ahead++;
        }
        return Optional.empty();
    }

    /**
     * Finds the request with the lowest priority.
     *
     * @param queue the waiting requests
     * @param newest a request that is not queued yet, preferred among those with the same priority
     * @return one of the waiting requests or the newest one
     */
    RequestHead findLowestPriority(DeadlineQueue queue, RequestHead newest) {
        RequestHead lowest = newest;
        for (RequestHead request : queue) {
            lowest = lowerPriority(lowest, request, newest.id());
        }
        return lowest;
    }

    /** Determines at low cost whether even the longest wait would meet the earliest deadline. */
    private boolean isClearlyFeasible(DeadlineQueue queue, SlotCounts counts, long nanos) {
        if (queue.isEmpty()) {
            return true;
        }
        long longest = waitNanos(queue.size() - 1, counts, nanos) + mEstimator.typicalNanos();
        return nanos + longest - queue.first().deadlineNanos() <= 0;
    }

    /**
     * Returns the typical service time for requests that have to wait, and the fast one for those
     * that do not.
     */
    private long neededNanos(int ahead, SlotCounts counts) {
        return ahead < counts.free() ? mEstimator.fastNanos() : mEstimator.typicalNanos();
    }

    private static RequestHead lowerPriority(
            RequestHead first, RequestHead second, RequestId newest) {
        if (first == null || second.priority() < first.priority()) {
            return second;
        }
        boolean equal = second.priority() == first.priority();
        return equal && !first.id().equals(newest) ? second : first;
    }
}
