package io.masticpond.core.crash;

/**
 * What this instance believes of a request at a moment, and what that rests on.
 *
 * @param request the request
 * @param state what is believed
 * @param ends how many servers ended one after the other under it, as far as is believed
 * @param ownEnds how many ends this instance saw itself
 * @param reporters how many instances reported ends, this one included
 * @param verdictReporters how many other instances came to the same conclusion
 * @param newestEndAgoNanos how long ago the newest end was, -1 if none is known here
 * @param rejections how often it was rejected
 * @param remainingNanos for how long it is rejected still, 0 if it is not
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

    /** What is believed of a request. */
    public enum State {
        /** It was there when a server ended, as others were. */
        NOTED,
        /** Two servers ended under it, one after the other: it is not sent again by itself. */
        SUSPECTED,
        /** It is rejected wherever it comes. */
        REJECTED,
        /** Its time is over; one more end rejects it again. */
        ON_TRIAL,
        /** It was answered. */
        ANSWERED,
        /** An operator released it. */
        RELEASED
    }
}
