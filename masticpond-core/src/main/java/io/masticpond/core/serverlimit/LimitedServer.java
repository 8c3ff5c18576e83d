package io.masticpond.core.serverlimit;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.support.HashMixer;
import io.masticpond.core.time.Moment;
import java.util.List;

/** One server that has named a limit: the last statement, and this instance's part of it. */
final class LimitedServer {

    private static final double NANOS_PER_SECOND = 1e9;

    final RegisteredServer mServer;

    /** The hash of the server's id, by which other instances know it. */
    final long mHash;

    LimitStatement mStatement;

    /** When the statement's answer arrived, by both clocks. */
    Moment mReceived;

    boolean mIsOwn;

    /** The limit that was reported last, infinite before the first. */
    double mReported = Double.POSITIVE_INFINITY;

    /** When the limit was lifted, if the server is not limited. */
    long mLiftedNanos;

    List<OwnerCandidate> mInstances = List.of();
    int mSenders;

    /** This instance's place among the senders, from 0; -1 if it is none. */
    int mRank = -1;

    long mSenderSinceNanos;
    double mPerSecond;
    private double mPermits;
    private long mUpdatedNanos;

    LimitedServer(RegisteredServer server) {
        mServer = server;
        mHash = HashMixer.hash(server.id().value());
    }

    boolean isLimited() {
        return mStatement.isLimited();
    }

    boolean isSender() {
        return mRank >= 0;
    }

    /** Begins to count permits: the first ones of the senders are spread over time. */
    void begin(long nowNanos) {
        mPermits = isSender() ? (mRank + 0.5) / mSenders : 0;
        mUpdatedNanos = nowNanos;
    }

    /** Takes another rate, after the permits of the one before have been counted. */
    void rate(double perSecond, long nowNanos) {
        refill(nowNanos);
        mPerSecond = perSecond;
    }

    boolean hasPermit(long nowNanos) {
        refill(nowNanos);
        return mPermits >= 1;
    }

    void takePermit() {
        mPermits -= 1;
    }

    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - mUpdatedNanos) / NANOS_PER_SECOND;
        mPermits = Math.min(1, mPermits + seconds * mPerSecond);
        mUpdatedNanos = nowNanos;
    }
}
