package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/** What an instance says about itself, with the sequence of its heartbeats. */
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

    /** Makes the next heartbeat. */
    MemberUpdate next() {
        mSequence++;
        return current();
    }

    /** Gives what the last heartbeat would say now. */
    MemberUpdate current() {
        return mState.heartbeat(mSequence, mLeaving, mConfiguration);
    }

    /** Lets the next heartbeat refute news with a sequence. */
    void supersede(long sequence) {
        mSequence = Math.max(mSequence, sequence);
    }

    Member member() {
        return mState.member(mLeaving, mConfiguration);
    }
}
