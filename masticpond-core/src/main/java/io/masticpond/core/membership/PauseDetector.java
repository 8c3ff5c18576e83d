package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Notices that this process stood still, by a gap in elapsed time between two calls.
 *
 * <p>Until it has heard from a majority of those it knew, its view is older than it seems. What
 * arrives right after it wakes does not count: it may have waited in a buffer since before.
 */
final class PauseDetector {

    private final long mPauseNanos;
    private final long mSettleNanos;
    private final Set<InstanceId> mReceivedSinceResume = new HashSet<>();
    private long mLastNanos;
    private long mResumedNanos;
    private boolean mPaused;

    PauseDetector(MembershipTimings timings, long now) {
        mPauseNanos = timings.pause().toNanos();
        mSettleNanos = timings.heartbeat().toNanos() / 2;
        mLastNanos = now;
    }

    /** Looks at the clock; returns whether the process has just woken. */
    boolean advance(long now) {
        boolean woke = now - mLastNanos >= mPauseNanos;
        mLastNanos = now;
        if (woke) {
            mPaused = true;
            mResumedNanos = now;
            mReceivedSinceResume.clear();
        }
        return woke;
    }

    /** Notes a heartbeat. */
    void receiveHeartbeat(InstanceId id, long now) {
        if (mPaused && now - mResumedNanos >= mSettleNanos) {
            mReceivedSinceResume.add(id);
        }
    }

    /** Tells whether too few of the others were heard from since the process woke. */
    boolean isPaused(Supplier<Set<InstanceId>> all) {
        if (!mPaused) {
            return false;
        }
        Set<InstanceId> others = all.get();
        long heard = others.stream().filter(mReceivedSinceResume::contains).count();
        mPaused = !others.isEmpty() && heard * 2 <= others.size();
        return mPaused;
    }
}
