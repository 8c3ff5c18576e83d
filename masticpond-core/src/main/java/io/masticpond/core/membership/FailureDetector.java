package io.masticpond.core.membership;

import java.util.Optional;

/** Says what the silence of a member means. */
final class FailureDetector {

    private final MembershipTimings mTimings;

    FailureDetector(MembershipTimings timings) {
        mTimings = timings;
    }

    /**
     * Judges a member.
     *
     * @param record the member
     * @param watched whether it should send heartbeats to this instance; only those who watch a
     *     member may suspect it, and all bury a suspect that stayed silent
     * @param now the elapsed time
     * @return what to claim of it now, or empty if nothing changes
     */
    Optional<MemberClaim> evaluate(MemberRecord record, boolean watched, long now) {
        return switch (record.state()) {
            case EXPECTED, DEAD -> Optional.empty();
            case LIVE, LEAVING -> watched ? evaluateLive(record, now) : Optional.empty();
            case SUSPECT -> evaluateSuspect(record, watched, now);
        };
    }

    /** Tells whether others should be asked for newer news of a watched member. */
    boolean mustRequestUpdate(MemberRecord record, long now) {
        return record.state().isReachable()
                && record.inactivityNanos(now) >= mTimings.updateRequest().toNanos()
                && record.sinceUpdateRequested(now) >= mTimings.heartbeat().toNanos();
    }

    /** Tells whether a dead member is dead for so long that it can be forgotten. */
    boolean mustForget(MemberRecord record, long now) {
        return record.state() == MemberState.DEAD
                && record.sinceClaim(now) >= mTimings.forget().toNanos();
    }

    private Optional<MemberClaim> evaluateLive(MemberRecord record, long now) {
        if (isProcessTerminated(record, now)) {
            return Optional.of(MemberClaim.TERMINATED);
        }
        boolean silent = record.inactivityNanos(now) >= mTimings.suspect().toNanos();
        return silent ? Optional.of(MemberClaim.SUSPECT) : Optional.empty();
    }

    private Optional<MemberClaim> evaluateSuspect(MemberRecord record, boolean watched, long now) {
        if (watched && isProcessTerminated(record, now)) {
            return Optional.of(MemberClaim.TERMINATED);
        }
        long patience = mTimings.dead().minus(mTimings.suspect()).toNanos();
        return record.sinceClaim(now) >= patience
                ? Optional.of(MemberClaim.DEAD)
                : Optional.empty();
    }

    private boolean isProcessTerminated(MemberRecord record, long now) {
        boolean missed = record.inactivityNanos(now) >= mTimings.updateRequest().toNanos();
        return record.isConnectionRefused() && (record.isDisconnected() || missed);
    }
}
