package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Detector of pauses of this process, which recognizes a pause by the time that elapsed between two
 * calls of {@link #advance}.
 *
 * <p>Until the process has received heartbeats from a majority of the instances that it knew, its
 * view is older than it seems. A heartbeat that arrives right after the process resumes does not
 * count, since it may have waited in a buffer since before the pause.
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

    /**
     * Compares the time with that of the previous call and returns whether the process has just
     * resumed after a pause.
     */
    boolean advance(long now) {
        boolean resumed = now - mLastNanos >= mPauseNanos;
        mLastNanos = now;
        if (resumed) {
            mPaused = true;
            mResumedNanos = now;
            mReceivedSinceResume.clear();
        }
        return resumed;
    }

    /** Records a heartbeat. */
    void receiveHeartbeat(InstanceId id, long now) {
        if (mPaused && now - mResumedNanos >= mSettleNanos) {
            mReceivedSinceResume.add(id);
        }
    }

    /**
     * Determines whether heartbeats from a majority of the other instances are still outstanding
     * since the process resumed.
     */
    boolean isPaused(Supplier<Set<InstanceId>> otherInstances) {
        if (!mPaused) {
            return false;
        }
        Set<InstanceId> others = otherInstances.get();
        long received = others.stream().filter(mReceivedSinceResume::contains).count();
        mPaused = !others.isEmpty() && received * 2 <= others.size();
        return mPaused;
    }
}
