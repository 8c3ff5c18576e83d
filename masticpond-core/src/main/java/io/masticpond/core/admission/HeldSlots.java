package io.masticpond.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Exact count of the held slots of one backend server.
 *
 * <p>A slot is held by a request in flight, or by an abandoned request that the server may still
 * process. The slot of an abandoned request is freed when the server must have ended it, or when a
 * report that is certainly newer than the dispatch shows fewer requests than the server would have
 * with it.
 */
final class HeldSlots {

    private record AbandonedRequest(long dispatchNanos, long releaseNanos) {}

    private final long mReportLagNanos;
    private final List<AbandonedRequest> mAbandoned = new ArrayList<>();
    private int mInFlight;
    private int mMinSinceRotation;
    private int mMinBeforeRotation;
    private long mRotationNanos;
    private boolean mRestarted;
    private long mRestartNanos;

    /**
     * Creates a count without held slots.
     *
     * @param reportLagNanos the maximum age of a report, in nanoseconds
     * @param nanos the current monotonic time, in nanoseconds
     */
    HeldSlots(long reportLagNanos, long nanos) {
        mReportLagNanos = reportLagNanos;
        mRotationNanos = nanos;
    }

    /** Holds a slot for a request that is sent now. */
    void dispatch() {
        mInFlight++;
    }

    /** Frees the slot of a request that has certainly ended. */
    void end() {
        mInFlight--;
    }

    /**
     * Keeps the slot of a request that ended at this instance, but may still run at the server.
     *
     * @param dispatchNanos when the request was sent
     * @param releaseNanos when the server must have ended it
     */
    void abandon(long dispatchNanos, long releaseNanos) {
        end();
        if (!mRestarted || dispatchNanos - mRestartNanos >= 0) {
            mAbandoned.add(new AbandonedRequest(dispatchNanos, releaseNanos));
        }
    }

    /**
     * Frees the slots whose release time has passed. The requests in flight at this call have been
     * in flight since the previous call.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void advance(long nanos) {
        mMinSinceRotation = Math.min(mMinSinceRotation, mInFlight);
        if (!mAbandoned.isEmpty()) {
            mAbandoned.removeIf(each -> each.releaseNanos() - nanos <= 0);
        }
        if (nanos - mRotationNanos >= mReportLagNanos) {
            mMinBeforeRotation = mMinSinceRotation;
            mMinSinceRotation = mInFlight;
            mRotationNanos = nanos;
        }
    }

    /**
     * Frees the slots that a report shows to be free.
     *
     * @param reportedInFlight the number of requests that the server reports as in flight
     * @param nanos the current monotonic time, in nanoseconds
     */
    void report(int reportedInFlight, long nanos) {
        long newest = nanos - mReportLagNanos;
        List<AbandonedRequest> known =
                mAbandoned.stream()
                        .filter(each -> each.dispatchNanos() - newest <= 0)
                        .sorted(Comparator.comparingLong(AbandonedRequest::releaseNanos))
                        .toList();
        int surplus = known.size() - Math.max(0, reportedInFlight);
        for (int i = 0; i < surplus; i++) {
            mAbandoned.remove(known.get(i));
        }
    }

    /**
     * Frees the slots of all abandoned requests, now and later, that were sent before the server
     * restarted.
     *
     * @param nanos the current monotonic time, in nanoseconds
     */
    void restarted(long nanos) {
        mRestarted = true;
        mRestartNanos = nanos;
        mAbandoned.clear();
    }

    /**
     * Returns the number of held slots.
     *
     * @return requests in flight and abandoned requests
     */
    int held() {
        return mInFlight + mAbandoned.size();
    }

    /**
     * Returns the number of requests in flight, without the abandoned ones.
     *
     * @return requests that are expected to end
     */
    int inFlight() {
        return mInFlight;
    }

    /**
     * Returns the number of requests that were in flight at every moment of at least the last
     * report lag.
     *
     * @return the minimum count in that time
     */
    int minInFlight() {
        return Math.min(mMinBeforeRotation, mMinSinceRotation);
    }

    /**
     * Returns the time at which the next slot of an abandoned request is freed.
     *
     * @return nanoseconds of the monotonic clock, or {@link Long#MAX_VALUE} if there is none
     */
    long nextReleaseNanos() {
        long next = Long.MAX_VALUE;
        for (int i = 0; i < mAbandoned.size(); i++) {
            next = Math.min(next, mAbandoned.get(i).releaseNanos());
        }
        return next;
    }
}
