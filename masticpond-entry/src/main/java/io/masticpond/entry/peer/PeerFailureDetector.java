package io.masticpond.entry.peer;

import io.masticpond.entry.peer.PeerRecord.Verdict;

/**
 * Says what the silence of an instance means.
 *
 * <p>A neighbor is judged by what this instance hears of it alone. Others are alive while none of
 * their neighbors says that they are silent, and while this instance hears enough of its own
 * neighbors for such word to reach it.
 */
final class PeerFailureDetector {

    private final HeartbeatSettings mSettings;

    PeerFailureDetector(HeartbeatSettings settings) {
        mSettings = settings;
    }

    Verdict evaluate(PeerRecord record, boolean cutOff, long now) {
        long silence = record.inactivity(now);
        if (silence < mSettings.suspectAfter().toNanos()) {
            return Verdict.ALIVE;
        }
        if (record.isWatched()) {
            return evaluateWatched(record, silence, now);
        }
        if (!record.isReported() || cutOff) {
            return Verdict.GONE;
        }
        return record.isClaimed() ? evaluateClaimed(record, now) : Verdict.ALIVE;
    }

    /** Gives the time until the verdict can change by silence alone. */
    long untilNext(PeerRecord record, long now) {
        if (record.verdict() == Verdict.GONE) {
            return Long.MAX_VALUE;
        }
        long next = Long.MAX_VALUE;
        if (record.hasReceived()) {
            long silence = record.inactivity(now);
            next = earlier(next, mSettings.suspectAfter().toNanos() - silence);
            next = earlier(next, mSettings.deadAfter().toNanos() - silence);
        }
        if (record.isWatched()) {
            next = earlier(next, grace() - record.sinceWatched(now));
        }
        if (record.isClaimed()) {
            next = earlier(next, mSettings.claimTimeout().toNanos() - record.sinceClaim(now));
        }
        return next;
    }

    private static long earlier(long next, long candidate) {
        return candidate > 0 ? Math.min(next, candidate) : next;
    }

    private Verdict evaluateWatched(PeerRecord record, long silence, long now) {
        if (silence < mSettings.deadAfter().toNanos()) {
            return Verdict.SUSPECT;
        }
        boolean mayCome =
                record.isReported() && !record.isClaimed() && record.sinceWatched(now) < grace();
        return mayCome ? Verdict.ALIVE : Verdict.GONE;
    }

    private Verdict evaluateClaimed(PeerRecord record, long now) {
        return record.sinceClaim(now) < mSettings.claimTimeout().toNanos()
                ? Verdict.SUSPECT
                : Verdict.GONE;
    }

    /** A new neighbor answers within this, or it is gone though others do not know yet. */
    private long grace() {
        return mSettings.period().plus(mSettings.claimTimeout()).toNanos();
    }
}
