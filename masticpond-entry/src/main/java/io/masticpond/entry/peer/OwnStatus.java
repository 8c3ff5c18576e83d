package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.Optional;

/** What this instance tells of itself. */
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

    void next() {
        mSequence++;
    }

    void setRevision(long revision) {
        mRevision = revision;
    }

    /** Takes a state; tells whether it is another one. One that leaves never comes back. */
    boolean changeState(PeerUpdate.State state) {
        if (isLeaving() || mState == state) {
            return false;
        }
        mState = state;
        return true;
    }

    /** Goes above an earlier run. */
    void startAbove(long incarnation) {
        if (incarnation > mIncarnation) {
            mIncarnation = incarnation + 1;
        }
    }

    /**
     * Goes above what others tell of an earlier run, whose clock may have been ahead; and refutes,
     * once, that this instance is silent.
     *
     * @return whether others must hear this instance anew
     */
    boolean supersede(PeerUpdate news) {
        if (news.isLaterThan(mIncarnation, mSequence)) {
            mIncarnation = news.incarnation() + 1;
            return true;
        }
        boolean silent = news.state() == PeerUpdate.State.SILENT;
        if (!silent || news.incarnation() < mIncarnation || news.sequence() < mSuperseded) {
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
