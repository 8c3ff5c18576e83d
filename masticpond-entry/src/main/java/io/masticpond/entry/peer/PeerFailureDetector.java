package io.masticpond.entry.peer;

import io.masticpond.entry.peer.PeerRecord.Verdict;

/**
 * Failure detector that evaluates the inactivity of an instance.
 *
 * <p>A neighbor is evaluated only by the heartbeats that this instance receives from it. Any other
 * instance is alive while none of its neighbors claims that it is unresponsive, and while this
 * instance receives the heartbeats of enough of its own neighbors for such a claim to reach it.
 */
final class PeerFailureDetector {

    private final HeartbeatSettings mSettings;

    PeerFailureDetector(HeartbeatSettings settings) {
        mSettings = settings;
    }

    Verdict evaluate(PeerRecord record, boolean cutOff, long now) {
        long inactivity = record.inactivity(now);
        if (inactivity < mSettings.suspectAfter().toNanos()) {
            return Verdict.ALIVE;
        }
        if (record.isWatched()) {
            return evaluateWatched(record, inactivity, now);
        }
        if (!record.isReported() || cutOff) {
            return Verdict.GONE;
        }
        return record.isClaimed() ? evaluateClaimed(record, now) : Verdict.ALIVE;
    }

    /** Returns the time in nanoseconds until the verdict can change by inactivity alone. */
    long untilNext(PeerRecord record, long now) {
        if (record.verdict() == Verdict.GONE) {
            return Long.MAX_VALUE;
        }
        long next = Long.MAX_VALUE;
        if (record.hasReceived()) {
            long inactivity = record.inactivity(now);
            next = earlier(next, mSettings.suspectAfter().toNanos() - inactivity);
            next = earlier(next, mSettings.deadAfter().toNanos() - inactivity);
        }
        if (record.isWatched()) {
            next = earlier(next, firstHeartbeatTimeout() - record.sinceWatched(now));
        }
        if (record.isClaimed()) {
            next = earlier(next, mSettings.claimTimeout().toNanos() - record.sinceClaim(now));
        }
        return next;
    }

    private static long earlier(long next, long candidate) {
        return candidate > 0 ? Math.min(next, candidate) : next;
    }

    private Verdict evaluateWatched(PeerRecord record, long inactivity, long now) {
        if (inactivity < mSettings.deadAfter().toNanos()) {
            return Verdict.SUSPECT;
        }
        boolean isAwaited =
                record.isReported()
                        && !record.isClaimed()
                        && record.sinceWatched(now) < firstHeartbeatTimeout();
        return isAwaited ? Verdict.ALIVE : Verdict.GONE;
    }

    private Verdict evaluateClaimed(PeerRecord record, long now) {
        return record.sinceClaim(now) < mSettings.claimTimeout().toNanos()
                ? Verdict.SUSPECT
                : Verdict.GONE;
    }

    /**
     * Returns the time in nanoseconds in which a new neighbor must answer; after it the neighbor
     * counts as unreachable, even if other instances have not detected this yet.
     */
    private long firstHeartbeatTimeout() {
        return mSettings.period().plus(mSettings.claimTimeout()).toNanos();
    }
}
