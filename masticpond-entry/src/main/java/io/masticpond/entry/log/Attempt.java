package io.masticpond.entry.log;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.statement.ServerStatement;

/** Single attempt to send a request to a backend server, with its result. */
final class Attempt {

    final BackendServerId mServer;
    final ZoneId mZone;
    final boolean mCold;
    final long mSentNanos;
    AttemptResult mResult = AttemptResult.OPEN;
    int mStatus;
    long mEndNanos;
    ServerStatement mStatement = ServerStatement.NONE;

    Attempt(BackendServerId server, ZoneId zone, boolean cold, long sentNanos) {
        mServer = server;
        mZone = zone;
        mCold = cold;
        mSentNanos = sentNanos;
        mEndNanos = sentNanos;
    }
}
