package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.Optional;

/** Status that this instance reports of itself. */
final class OwnStatus {

    private final InstanceId mId;
    private final PeerPlace mPlace;
    private long mIncarnation;
    private long mSequence = 1;
    private long mRevision;
    private long mSuperseded;
    private PeerUpdate.State mState = PeerUpdate.State.STARTING;

    OwnStatus(InstanceId id, PeerPlace place, long incarnation) {
        mId = id;
        mPlace = place;
        mIncarnation = incarnation;
    }

    InstanceId id() {
        return mId;
    }

    PeerPlace place() {
        return mPlace;
    }

    boolean isLeaving() {
        return mState == PeerUpdate.State.LEAVING;
    }

    void advanceSequence() {
        mSequence++;
    }

    void setRevision(long revision) {
        mRevision = revision;
    }

    /**
     * Changes the state and returns whether it differs from the one before. The state {@code
     * LEAVING} is final.
     */
    boolean changeState(PeerUpdate.State state) {
        if (isLeaving() || mState == state) {
            return false;
        }
        mState = state;
        return true;
    }

    /** Raises the incarnation above that of an earlier run. */
    void raiseIncarnationAbove(long incarnation) {
        if (incarnation > mIncarnation) {
            mIncarnation = incarnation + 1;
        }
    }

    /**
     * Supersedes what others report of this instance: raises the incarnation above that of an
     * earlier run, whose clock may have been ahead, and overrides, once, a claim that this instance
     * is unresponsive.
     *
     * @return whether this instance must be announced to others again
     */
    boolean supersede(PeerUpdate update) {
        if (update.isLaterThan(mIncarnation, mSequence)) {
            mIncarnation = update.incarnation() + 1;
            return true;
        }
        boolean unresponsive = update.state() == PeerUpdate.State.SILENT;
        if (!unresponsive
                || update.incarnation() < mIncarnation
                || update.sequence() < mSuperseded) {
            return false;
        }
        mSuperseded = mSequence + 1;
        return true;
    }

    PeerUpdate update(boolean withPlace) {
        return new PeerUpdate(
                mId,
                mIncarnation,
                mSequence,
                mRevision,
                mState,
                withPlace ? Optional.of(mPlace) : Optional.empty());
    }

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
}
