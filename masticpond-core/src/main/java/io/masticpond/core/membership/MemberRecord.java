package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;

/** Mutable record that a {@link MembershipTable} keeps of one other instance. */
final class MemberRecord {

    /** Placeholder for the run of an instance that is listed but has not sent a heartbeat. */
    private static final long UNKNOWN_RUN = 1;

    private final InstanceId mId;
    private MemberUpdate mUpdate;
    private boolean mHasReceivedUpdate;
    private boolean mListed;
    private boolean mListedLeaving;
    private boolean mDisconnected;
    private boolean mConnectionRefused;
    private long mLastActivityNanos;
    private long mClaimNanos;
    private long mUpdateRequestedNanos;

    /** Creates the record of an instance that the platform lists. */
    MemberRecord(ListedMember listed, long now) {
        this(
                new MemberUpdate(
                        new Incarnation(listed.id(), UNKNOWN_RUN),
                        0,
                        listed.zone(),
                        listed.linkAddress(),
                        "",
                        "",
                        listed.leaving(),
                        ConfigurationVersion.NONE,
                        MemberClaim.LIVE),
                now);
    }

    /** Creates the record of an instance that another instance reported. */
    MemberRecord(MemberUpdate update, long now) {
        mId = update.id();
        mUpdate = update;
        mLastActivityNanos = now;
        mClaimNanos = now;
        mUpdateRequestedNanos = now;
    }

    InstanceId id() {
        return mId;
    }

    MemberUpdate update() {
        return mUpdate;
    }

    MemberState state() {
        if (!mHasReceivedUpdate) {
            return MemberState.EXPECTED;
        }
        return switch (mUpdate.claim()) {
            case LIVE ->
                    mUpdate.leaving() || mListedLeaving ? MemberState.LEAVING : MemberState.LIVE;
            case SUSPECT -> MemberState.SUSPECT;
            case DEAD, TERMINATED -> MemberState.DEAD;
        };
    }

    /** Determines whether the process of the run has terminated. */
    boolean isTerminated() {
        return mHasReceivedUpdate && mUpdate.claim() == MemberClaim.TERMINATED;
    }

    /** Returns the contribution of this member to the digest of all members. */
    long digest() {
        return mHasReceivedUpdate && !mUpdate.claim().isEnd() ? MemberDigest.of(mUpdate) : 0;
    }

    Member member() {
        return new Member(
                mUpdate.incarnation(),
                mUpdate.zone(),
                mUpdate.linkAddress(),
                mUpdate.callerAddress(),
                mUpdate.operatorAddress(),
                state(),
                mUpdate.configuration());
    }

    boolean hasReceivedUpdate() {
        return mHasReceivedUpdate;
    }

    boolean isListed() {
        return mListed;
    }

    /**
     * Determines whether the activity of the member is known: it is live, or its process has
     * certainly terminated. An instance that was never live counts as terminated if its address
     * refused a connection. An instance that is unresponsive, or from which no heartbeat was
     * received, may be working on the other side of a network partition.
     */
    boolean isAccountedFor() {
        return switch (state()) {
            case LIVE, LEAVING -> true;
            case EXPECTED -> mConnectionRefused;
            case SUSPECT -> false;
            case DEAD -> mUpdate.claim() == MemberClaim.TERMINATED;
        };
    }

    /**
     * Determines whether the update is from a restart with a lower run number. A run that ended is
     * followed by one with a lower number if the wall clock was set back.
     */
    boolean isRestartWithEarlierClock(MemberUpdate update, InstanceId reporter) {
        return mUpdate.claim().isEnd()
                && update.id().equals(reporter)
                && update.incarnation().number() < mUpdate.incarnation().number();
    }

    /**
     * Applies a newer update and returns whether the run, the state, the link address or the caller
     * address has changed, or whether the run has its first configuration.
     */
    boolean apply(MemberUpdate update, long now) {
        Member before = member();
        boolean advances =
                !mHasReceivedUpdate
                        || update.incarnation().number() > mUpdate.incarnation().number()
                        || update.sequence() > mUpdate.sequence();
        if (advances && update.claim() == MemberClaim.LIVE) {
            mLastActivityNanos = now;
            mDisconnected = false;
            mConnectionRefused = false;
        }
        if (update.claim() != mUpdate.claim()) {
            mClaimNanos = now;
        }
        mHasReceivedUpdate = true;
        mUpdate = update;
        Member after = member();
        return before.state() != after.state()
                || before.isConfigured() != after.isConfigured()
                || !before.incarnation().equals(after.incarnation())
                || !before.linkAddress().equals(after.linkAddress())
                || !before.callerAddress().equals(after.callerAddress());
    }

    /** Applies an entry of the platform's list and returns whether the state has changed. */
    boolean apply(ListedMember listed) {
        MemberState before = state();
        mListed = true;
        mListedLeaving = listed.leaving();
        if (!mHasReceivedUpdate && !mUpdate.linkAddress().equals(listed.linkAddress())) {
            mUpdate = new MemberRecord(listed, mLastActivityNanos).mUpdate;
            mConnectionRefused = false;
        }
        return before != state();
    }

    /** Creates a record of the same instance without its last run. */
    MemberRecord expectedAgain(long now) {
        MemberRecord expected =
                new MemberRecord(
                        new ListedMember(
                                mId, mUpdate.zone(), mUpdate.linkAddress(), mListedLeaving),
                        now);
        expected.mListed = true;
        expected.mListedLeaving = mListedLeaving;
        expected.mConnectionRefused = mUpdate.claim() == MemberClaim.TERMINATED;
        return expected;
    }

    void markUnlisted() {
        mListed = false;
        mListedLeaving = false;
    }

    long inactivityNanos(long now) {
        return now - mLastActivityNanos;
    }

    long sinceClaim(long now) {
        return now - mClaimNanos;
    }

    long sinceUpdateRequested(long now) {
        return now - mUpdateRequestedNanos;
    }

    void markUpdateRequested(long now) {
        mUpdateRequestedNanos = now;
    }

    /**
     * Restarts the measurement of inactivity because this process itself could not receive
     * heartbeats.
     */
    void resetInactivity(long now) {
        mLastActivityNanos = now;
        mClaimNanos = now;
    }

    /** Records that the last connection was closed. */
    void markDisconnected() {
        mDisconnected = true;
    }

    boolean isDisconnected() {
        return mDisconnected;
    }

    /** Records that the address refused a connection. */
    void markConnectionRefused() {
        mConnectionRefused = true;
    }

    boolean isConnectionRefused() {
        return mConnectionRefused;
    }
}
