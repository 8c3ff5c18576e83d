package io.masticpond.core.serverlimit;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.support.HashMixer;
import io.masticpond.core.time.Moment;
import java.util.List;

/** State of one server that has stated a limit: the latest statement, and this instance's share. */
final class LimitedServer {

    private static final double NANOS_PER_SECOND = 1e9;

    final RegisteredServer mServer;

    /** Hash of the server's id, which identifies the server in reports of other instances. */
    final long mHash;

    LimitStatement mStatement;

    /** Moment at which the statement's answer arrived, by both clocks. */
    Moment mReceived;

    boolean mIsOwn;

    /** Limit that was reported last, infinite before the first report. */
    double mReported = Double.POSITIVE_INFINITY;

    /** Monotonic time at which the limit was lifted, if the server is not limited. */
    long mLiftedNanos;

    List<OwnerCandidate> mInstances = List.of();
    int mSenders;

    /** Rank of this instance among the senders, from 0; -1 if it is not a sender. */
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

    /** Starts to accrue permits; the first permits of the senders are spread over time. */
    void startPermits(long nowNanos) {
        mPermits = isSender() ? (mRank + 0.5) / mSenders : 0;
        mUpdatedNanos = nowNanos;
    }

    /** Changes the rate after crediting the permits accrued at the previous rate. */
    void changeRate(double perSecond, long nowNanos) {
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
