package io.masticpond.core.membership;

/**
 * State of an instance as known to another instance.
 *
 * @since 0.1
 */
public enum MemberState {
    /** Listed by the platform, but no heartbeat has been received yet. */
    EXPECTED(false, false),
    /** A heartbeat was received recently. */
    LIVE(true, true),
    /**
     * An instance that watches the member has received no heartbeat of it for longer than the
     * suspect timeout.
     */
    SUSPECT(false, false),
    /**
     * Heartbeats are received, and the instance is stopping as planned: it finishes its work but
     * accepts no new callers.
     */
    LEAVING(false, true),
    /** Declared dead, or known to have terminated. */
    DEAD(false, false);

    private final boolean mAdmits;
    private final boolean mReachable;

    MemberState(boolean admits, boolean reachable) {
        mAdmits = admits;
        mReachable = reachable;
    }

    /**
     * Determines whether the instance may be returned by lookups and admit work.
     *
     * @return {@code true} if it accepts new work
     */
    public boolean canAdmit() {
        return mAdmits;
    }

    /**
     * Determines whether messages to the instance are expected to be delivered.
     *
     * @return {@code true} if it is reachable
     */
    public boolean isReachable() {
        return mReachable;
    }
}
