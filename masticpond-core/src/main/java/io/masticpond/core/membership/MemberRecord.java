package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;

/** All that a {@link MembershipTable} keeps of one other instance. */
final class MemberRecord {

    /** Stands for the run of an instance that is listed but not heard from. */
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

    /** Makes the record of an instance that the platform lists. */
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

    /** Makes the record of an instance that another one told of. */
    MemberRecord(MemberUpdate news, long now) {
        mId = news.id();
        mUpdate = news;
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

    /** Tells whether the process of the run has ended. */
    boolean isTerminated() {
        return mHasReceivedUpdate && mUpdate.claim() == MemberClaim.TERMINATED;
    }

    /** Gives the share of this member in the digest of all. */
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
     * Tells whether the member certainly takes no part: its process has ended. An instance that is
     * silent or not heard from may be at work behind a cut.
     */
    boolean isAccountedFor() {
        return switch (state()) {
            case LIVE, LEAVING -> true;
            case EXPECTED -> mConnectionRefused;
            case SUSPECT -> false;
            case DEAD -> mUpdate.claim() == MemberClaim.TERMINATED;
        };
    }

    /** A run that ended is followed by one with a lower number if the wall clock went back. */
    boolean isRestartWithEarlierClock(MemberUpdate news, InstanceId teller) {
        return mUpdate.claim().isEnd()
                && news.id().equals(teller)
                && news.incarnation().number() < mUpdate.incarnation().number();
    }

    /**
     * Takes newer news; returns whether the run, the state or an address is another than before, or
     * the run got its first configuration.
     */
    boolean apply(MemberUpdate news, long now) {
        Member before = member();
        boolean advances =
                !mHasReceivedUpdate
                        || news.incarnation().number() > mUpdate.incarnation().number()
                        || news.sequence() > mUpdate.sequence();
        if (advances && news.claim() == MemberClaim.LIVE) {
            mLastActivityNanos = now;
            mDisconnected = false;
            mConnectionRefused = false;
        }
        if (news.claim() != mUpdate.claim()) {
            mClaimNanos = now;
        }
        mHasReceivedUpdate = true;
        mUpdate = news;
        Member after = member();
        return before.state() != after.state()
                || before.isConfigured() != after.isConfigured()
                || !before.incarnation().equals(after.incarnation())
                || !before.linkAddress().equals(after.linkAddress())
                || !before.callerAddress().equals(after.callerAddress());
    }

    /** Takes what the platform's list says; returns whether the state is another than before. */
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

    /** Makes the record of the same instance with its last run forgotten. */
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

    /** Starts the silence anew, because this process itself could not listen. */
    void resetInactivity(long now) {
        mLastActivityNanos = now;
        mClaimNanos = now;
    }

    /** Notes that the last connection broke. */
    void markDisconnected() {
        mDisconnected = true;
    }

    boolean isDisconnected() {
        return mDisconnected;
    }

    /** Notes that the address refused a connection. */
    void markConnectionRefused() {
        mConnectionRefused = true;
    }

    boolean isConnectionRefused() {
        return mConnectionRefused;
    }
}
