package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Heartbeat state of this instance: what it reports about itself, and the sequence of its
 * heartbeats.
 */
final class OwnHeartbeat {

    private final OwnState mState;
    private boolean mLeaving;
    private ConfigurationVersion mConfiguration = ConfigurationVersion.NONE;
    private long mSequence;

    OwnHeartbeat(OwnState state) {
        mState = Assert.notNull(state, "The own state");
    }

    InstanceId id() {
        return mState.incarnation().instance();
    }

    ZoneId zone() {
        return mState.zone();
    }

    OwnState state() {
        return mState;
    }

    void setLeaving(boolean leaving) {
        mLeaving = leaving;
    }

    void setConfiguration(ConfigurationVersion version) {
        mConfiguration = Assert.notNull(version, "A configuration version");
    }

    /** Increments the sequence and returns the next heartbeat. */
    MemberUpdate next() {
        mSequence++;
        return current();
    }

    /** Returns the last heartbeat with the current state of this instance. */
    MemberUpdate current() {
        return mState.heartbeat(mSequence, mLeaving, mConfiguration);
    }

    /**
     * Advances the sequence so that the next heartbeat supersedes an update with the given
     * sequence.
     */
    void supersede(long sequence) {
        mSequence = Math.max(mSequence, sequence);
    }

    Member member() {
        return mState.member(mLeaving, mConfiguration);
    }
}
