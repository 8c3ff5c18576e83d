package io.masticpond.core.crash;

/**
 * Snapshot of this instance's view of a request, with its evidence.
 *
 * @param request the request
 * @param state the assumed state
 * @param ends the assumed number of servers that ended one after the other while processing it
 * @param ownEnds the number of ends that this instance observed itself
 * @param reporters the number of instances that reported ends, this one included
 * @param verdictReporters the number of other instances that reported a conclusion
 * @param newestEndAgoNanos the time since the latest end, -1 if none is known at this instance
 * @param rejections the number of times it was rejected
 * @param remainingNanos the remaining time of its rejection, 0 if it is not rejected
 * @since 0.2
 */
public record CrashView(
        RequestFingerprint request,
        State state,
        int ends,
        int ownEnds,
        int reporters,
        int verdictReporters,
        long newestEndAgoNanos,
        int rejections,
        long remainingNanos) {

    /** Assumed state of a request. */
    public enum State {
        /** It was being processed when a server ended, possibly among others. */
        NOTED,
        /**
         * Two servers ended one after the other while processing it: it is not retried
         * automatically.
         */
        SUSPECTED,
        /** It is rejected by all instances. */
        REJECTED,
        /** Its rejection has expired; one more end rejects it again. */
        ON_TRIAL,
        /** It was answered. */
        ANSWERED,
        /** An operator released it. */
        RELEASED
    }
}
