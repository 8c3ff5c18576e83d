package io.masticpond.core.membership;

/**
 * Claim that an update makes about a run of an instance, ordered from the best to the worst.
 *
 * @since 0.1
 */
public enum MemberClaim {
    /** The run sent the heartbeat with the sequence of the update. */
    LIVE(false),
    /**
     * An instance that watches the run has received no heartbeat since the sequence of the update.
     */
    SUSPECT(false),
    /** The run remained unresponsive for the time that it had to override the suspicion. */
    DEAD(true),
    /** The process has terminated: it reported so itself, or its address refused a connection. */
    TERMINATED(true);

    private final boolean mEnd;

    MemberClaim(boolean end) {
        mEnd = end;
    }

    /**
     * Determines whether the run no longer takes part.
     *
     * @return {@code true} if it is dead or terminated
     */
    public boolean isEnd() {
        return mEnd;
    }
}
