package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.Optional;

/** Mutable record of what this instance knows of another. */
final class PeerRecord {

    /** Verdict on the inactivity of an instance. */
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

    /** Returns whether any instance ever received a heartbeat of this run. */
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

    /**
     * Returns the time in nanoseconds since the last sign of the instance, received from it or
     * reported by others.
     */
    long sinceLastSign(long now) {
        return now - (mHasReceived ? Math.max(mReceivedAt, mReportedAt) : mReportedAt);
    }

    /** Records that the instance picked this one as its neighbor. */
    void recordPicked(long now) {
        mPicked = true;
        mPickedAt = now;
    }

    boolean isPicked(long within, long now) {
        return mPicked && now - mPickedAt < within;
    }

    long sinceSent(long now) {
        return now - mSentAt;
    }

    void recordSent(long now) {
        mSentAt = now;
    }

    /** Limits the inactivity of the instance to a maximum, in nanoseconds. */
    void limitInactivity(long maximum, long now) {
        mReceivedAt = Math.max(mReceivedAt, now - maximum);
    }

    void watch(boolean watched, long now) {
        if (watched && !mWatched) {
            mWatchedSince = now;
            mSentAt = now - Long.MAX_VALUE / 2;
        }
        mWatched = watched;
    }

    /** Records a heartbeat received from the instance itself. */
    void recordReceived(PeerUpdate update, long now) {
        if (update.sequence() >= mReceivedSequence) {
            mHasReceived = true;
            mReceivedSequence = update.sequence();
            mReceivedAt = now;
            mClaimed = false;
        }
    }

    /**
     * Applies an update that is not older than the known state. Returns whether others must be
     * informed of the change.
     */
    boolean applyUpdate(PeerUpdate update, long now) {
        if (mIncarnation > update.incarnation()
                || (mIncarnation == update.incarnation() && mSequence > update.sequence())) {
            return false;
        }
        boolean restarted = update.incarnation() > mIncarnation;
        if (restarted) {
            mHasReceived = false;
            mReceivedSequence = 0;
            mVerdict = Verdict.GONE;
        }
        boolean overridden = mClaimed && update.isLaterThan(mIncarnation, mSequence);
        boolean changed = restarted || overridden || mState != update.state() || mSequence == 0;
        if (overridden) {
            mClaimed = false;
        }
        mIncarnation = update.incarnation();
        mSequence = update.sequence();
        mRevision = update.revision();
        mState = update.state();
        mPlace = update.place().orElse(mPlace);
        mReportedAt = now;
        return changed;
    }

    /**
     * Records a claim by others that the instance is unresponsive. Returns whether the claim is
     * new.
     */
    boolean recordClaim(long now) {
        if (mClaimed) {
            return false;
        }
        mClaimed = true;
        mClaimedAt = now;
        return true;
    }

    /** Determines whether a heartbeat of the instance is known that is later than a claim. */
    boolean supersedes(PeerUpdate claim) {
        return mIncarnation > claim.incarnation()
                || (mIncarnation == claim.incarnation() && mSequence > claim.sequence());
    }

    /** Returns the update as the instance reported it. */
    PeerUpdate update(boolean withPlace) {
        Optional<PeerPlace> place = withPlace ? Optional.of(mPlace) : Optional.empty();
        return new PeerUpdate(mId, mIncarnation, mSequence, mRevision, mState, place);
    }

    /** Returns a claim that the instance is unresponsive since its last known heartbeat. */
    PeerUpdate claimUpdate() {
        long sequence = mHasReceived && !mClaimed ? mReceivedSequence : mSequence;
        return new PeerUpdate(
                mId, mIncarnation, sequence, mRevision, PeerUpdate.State.SILENT, Optional.empty());
    }

    /** Returns the public view of the instance. */
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

    /** Returns the sequence number of the latest known heartbeat. */
    long lastSequence() {
        return mSequence;
    }
}
