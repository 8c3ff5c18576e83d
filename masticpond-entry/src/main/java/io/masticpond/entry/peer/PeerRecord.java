package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.Optional;

/** What this instance knows of another. */
final class PeerRecord {

    /** What silence makes of an instance. */
    enum Verdict {
        ALIVE,
        SUSPECT,
        GONE
    }

    private final InstanceId mId;
    private PeerPlace mPlace;
    private long mIncarnation;
    private long mSequence;
    private long mRevision;
    private PeerUpdate.State mState = PeerUpdate.State.STARTING;
    private boolean mHasReceived;
    private long mReceivedSequence;
    private long mReceivedAt;
    private long mReportedAt;
    private boolean mClaimed;
    private long mClaimedAt;
    private boolean mWatched;
    private long mWatchedSince;
    private long mSentAt;
    private boolean mPicked;
    private long mPickedAt;
    private Verdict mVerdict = Verdict.GONE;

    PeerRecord(InstanceId id, PeerPlace place, long incarnation, long now) {
        mId = id;
        mPlace = place;
        mIncarnation = incarnation;
        mReportedAt = now;
    }

    InstanceId id() {
        return mId;
    }

    PeerPlace place() {
        return mPlace;
    }

    long incarnation() {
        return mIncarnation;
    }

    PeerUpdate.State state() {
        return mState;
    }

    Verdict verdict() {
        return mVerdict;
    }

    void setVerdict(Verdict verdict) {
        mVerdict = verdict;
    }

    boolean isWatched() {
        return mWatched;
    }

    boolean isClaimed() {
        return mClaimed;
    }

    boolean hasReceived() {
        return mHasReceived;
    }

    /** Tells whether anybody ever heard this run of it. */
    boolean isReported() {
        return mSequence > 0;
    }

    long inactivity(long now) {
        return mHasReceived ? now - mReceivedAt : Long.MAX_VALUE;
    }

    long sinceClaim(long now) {
        return now - mClaimedAt;
    }

    long sinceWatched(long now) {
        return now - mWatchedSince;
    }

    /** Gives the time since the last sign of it, of whatever kind. */
    long sinceSign(long now) {
        return now - (mHasReceived ? Math.max(mReceivedAt, mReportedAt) : mReportedAt);
    }

    /** Notes that the instance picked this one as its neighbor. */
    void picked(long now) {
        mPicked = true;
        mPickedAt = now;
    }

    boolean isPicked(long within, long now) {
        return mPicked && now - mPickedAt < within;
    }

    long sinceSent(long now) {
        return now - mSentAt;
    }

    void sent(long now) {
        mSentAt = now;
    }

    /** Counts a silence as no longer than this. */
    void limitInactivity(long most, long now) {
        mReceivedAt = Math.max(mReceivedAt, now - most);
    }

    void watch(boolean watched, long now) {
        if (watched && !mWatched) {
            mWatchedSince = now;
            mSentAt = now - Long.MAX_VALUE / 2;
        }
        mWatched = watched;
    }

    /** Takes a heartbeat of its own. */
    void received(PeerUpdate news, long now) {
        if (news.sequence() >= mReceivedSequence) {
            mHasReceived = true;
            mReceivedSequence = news.sequence();
            mReceivedAt = now;
            mClaimed = false;
        }
    }

    /** Takes over news of at least this moment; tells whether others must hear of them. */
    boolean applyUpdate(PeerUpdate news, long now) {
        if (mIncarnation > news.incarnation()
                || (mIncarnation == news.incarnation() && mSequence > news.sequence())) {
            return false;
        }
        boolean restarted = news.incarnation() > mIncarnation;
        if (restarted) {
            mHasReceived = false;
            mReceivedSequence = 0;
            mVerdict = Verdict.GONE;
        }
        boolean refuted = mClaimed && news.isLaterThan(mIncarnation, mSequence);
        boolean changed = restarted || refuted || mState != news.state() || mSequence == 0;
        if (refuted) {
            mClaimed = false;
        }
        mIncarnation = news.incarnation();
        mSequence = news.sequence();
        mRevision = news.revision();
        mState = news.state();
        mPlace = news.place().orElse(mPlace);
        mReportedAt = now;
        return changed;
    }

    /** Takes others' word that it is silent; tells whether that is new. */
    boolean claim(long now) {
        if (mClaimed) {
            return false;
        }
        mClaimed = true;
        mClaimedAt = now;
        return true;
    }

    /** Tells whether a sign later than a claim of silence is known. */
    boolean supersedes(PeerUpdate claim) {
        return mIncarnation > claim.incarnation()
                || (mIncarnation == claim.incarnation() && mSequence > claim.sequence());
    }

    /** Gives the news of it as told by itself. */
    PeerUpdate update(boolean withPlace) {
        Optional<PeerPlace> place = withPlace ? Optional.of(mPlace) : Optional.empty();
        return new PeerUpdate(mId, mIncarnation, mSequence, mRevision, mState, place);
    }

    /** Gives the word that it is silent since it was heard last. */
    PeerUpdate claimUpdate() {
        long sequence = mHasReceived && !mClaimed ? mReceivedSequence : mSequence;
        return new PeerUpdate(
                mId, mIncarnation, sequence, mRevision, PeerUpdate.State.SILENT, Optional.empty());
    }

    /** Gives it as others see it. */
    PeerInstance instance() {
        return new PeerInstance(
                mId,
                mIncarnation,
                mPlace.zone(),
                mPlace.region(),
                mPlace.entry(),
                mPlace.internal(),
                mState == PeerUpdate.State.READY,
                mRevision);
    }

    /** Gives the last moment of it that is known. */
    long lastSequence() {
        return mSequence;
    }
}
