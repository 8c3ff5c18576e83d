package io.masticpond.core.membership;

/**
 * What news says about a run of an instance, from the best to the worst.
 *
 * @since 0.1
 */
public enum MemberClaim {
    /** It sent the heartbeat with the sequence of the news. */
    LIVE(false),
    /** A watcher has heard nothing since the sequence of the news. */
    SUSPECT(false),
    /** It stayed silent through the time that it had to refute the suspicion. */
    DEAD(true),
    /** Its process has ended: it said so itself, or its address refused a connection. */
    TERMINATED(true);

    private final boolean mEnd;

    MemberClaim(boolean end) {
        mEnd = end;
    }

    /**
     * Tells whether the run takes no part any more.
     *
     * @return whether it is dead or gone
     */
    public boolean isEnd() {
        return mEnd;
    }
}
