package io.masticpond.core.membership;

import java.util.Optional;

/** Detector that evaluates the inactivity of members. */
final class FailureDetector {

    private final MembershipTimings mTimings;

    FailureDetector(MembershipTimings timings) {
        mTimings = timings;
    }

    /**
     * Evaluates a member.
     *
     * @param record the member
     * @param watched whether it is expected to send heartbeats to this instance; only an instance
     *     that watches a member may suspect it, but every instance declares a suspect dead that
     *     remained unresponsive
     * @param now the current monotonic time in nanoseconds
     * @return the new claim about the member, or empty if its state does not change
     */
    Optional<MemberClaim> evaluate(MemberRecord record, boolean watched, long now) {
        return switch (record.state()) {
            case EXPECTED, DEAD -> Optional.empty();
            case LIVE, LEAVING -> watched ? evaluateLive(record, now) : Optional.empty();
            case SUSPECT -> evaluateSuspect(record, watched, now);
        };
    }

    /**
     * Determines whether other instances should be queried for a newer update of a watched member.
     */
    boolean mustRequestUpdate(MemberRecord record, long now) {
        return record.state().isReachable()
                && record.inactivityNanos(now) >= mTimings.updateRequest().toNanos()
                && record.sinceUpdateRequested(now) >= mTimings.heartbeat().toNanos();
    }

    /** Determines whether a member has been dead for long enough to remove its record. */
    boolean mustRemove(MemberRecord record, long now) {
        return record.state() == MemberState.DEAD
                && record.sinceClaim(now) >= mTimings.forget().toNanos();
    }

    private Optional<MemberClaim> evaluateLive(MemberRecord record, long now) {
        if (isProcessTerminated(record, now)) {
            return Optional.of(MemberClaim.TERMINATED);
        }
        boolean unresponsive = record.inactivityNanos(now) >= mTimings.suspect().toNanos();
        return unresponsive ? Optional.of(MemberClaim.SUSPECT) : Optional.empty();
    }

    private Optional<MemberClaim> evaluateSuspect(MemberRecord record, boolean watched, long now) {
        if (watched && isProcessTerminated(record, now)) {
            return Optional.of(MemberClaim.TERMINATED);
        }
        long timeout = mTimings.dead().minus(mTimings.suspect()).toNanos();
        return record.sinceClaim(now) >= timeout ? Optional.of(MemberClaim.DEAD) : Optional.empty();
    }

    private boolean isProcessTerminated(MemberRecord record, long now) {
        boolean missed = record.inactivityNanos(now) >= mTimings.updateRequest().toNanos();
        return record.isConnectionRefused() && (record.isDisconnected() || missed);
    }
}
