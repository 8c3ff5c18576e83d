package io.masticpond.entry.log;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.statement.ServerStatement;

/**
 * Single attempt to send a request to a backend server, or to another instance that sends it to
 * one, with its result.
 */
final class Attempt {

    /** Null for an attempt to send the request to another instance. */
    final BackendServerId mServer;

    /** Null for an attempt to send the request to a backend server. */
    final InstanceId mPeer;

    final ZoneId mZone;
    final boolean mCold;
    final long mSentNanos;
    AttemptResult mResult = AttemptResult.OPEN;
    int mStatus;
    long mEndNanos;
    ServerStatement mStatement = ServerStatement.NONE;
    long mStatedNanos;

    /** Whether the head of an answer was received, even if the server states nothing in it. */
    boolean mHasStated;

    Attempt(BackendServerId server, InstanceId peer, ZoneId zone, boolean cold, long sentNanos) {
        mServer = server;
        mPeer = peer;
        mZone = zone;
        mCold = cold;
        mSentNanos = sentNanos;
        mEndNanos = sentNanos;
    }

    void state(ServerStatement statement, long nowNanos) {
        mStatement = statement;
        mStatedNanos = nowNanos;
        mHasStated = true;
    }

    void end(AttemptResult result, int status, long nowNanos) {
        mResult = result;
        mStatus = status;
        mEndNanos = nowNanos;
    }
}
