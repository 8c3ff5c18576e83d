package io.masticpond.entry.backend;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.ServiceId;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Pool of the connections to one backend server. */
final class ServerPool {

    private static final Logger sLogger = LoggerFactory.getLogger(ServerPool.class);
    private static final long MINIMUM_OBSERVED_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** A server that is at work answers most requests sooner. */
    private static final long MINIMUM_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final RegisteredServer mServer;
    private final InetSocketAddress mSocketAddress;
    private final PoolContext mContext;
    private final List<BackendConnection> mConnections = new ArrayList<>();

    /** Idle connections, the most recently used first. */
    private final Deque<BackendConnection> mIdle = new ArrayDeque<>();

    private int mMaximum = 1;
    private long mUnstatedIdleNanos;
    private long mLastReceivedNanos;
    private long mRoundTripNanos;
    private boolean mOversizedLogged;

    ServerPool(RegisteredServer server, PoolContext context) {
        mServer = server;
        mSocketAddress = ConnectionOpener.socketAddress(server.address());
        mContext = context;
        mUnstatedIdleNanos = context.options().unstatedIdleNanos();
        mLastReceivedNanos = nowNanos();
    }

    InetSocketAddress socketAddress() {
        return mSocketAddress;
    }

    ServiceId service() {
        return mServer.service();
    }

    ServerAddress address() {
        return mServer.address();
    }

    ConnectionOptions options() {
        return mContext.options();
    }

    /** Creates the reading of one answer from a connection. */
    ResponseReading newReading(Channel channel) {
        return new ResponseReading(mContext.budget(), mContext.timeSource(), channel);
    }

    long nowNanos() {
        return mContext.timeSource().monotonicNanos();
    }

    long wallMillis() {
        return mContext.timeSource().instant().toEpochMilli();
    }

    long unstatedIdleNanos() {
        return mUnstatedIdleNanos;
    }

    /** Records the time in which the latest connection was opened. */
    void recordRoundTrip(long nanos) {
        mRoundTripNanos = nanos;
    }

    /** Returns the time in which the latest connection was opened, 0 before the first one. */
    long roundTripNanos() {
        return mRoundTripNanos;
    }

    /** Returns whether a connection is open, idle or in use. */
    boolean isConnected() {
        for (BackendConnection connection : mConnections) {
            if (connection.isOpen()) {
                return true;
            }
        }
        return false;
    }

    boolean isEmpty() {
        return mConnections.isEmpty();
    }

    boolean isAboveMaximum() {
        return mConnections.size() > mMaximum;
    }

    /**
     * Assigns a connection to a call: an idle one, one that is opening and has no call yet, or a
     * new one.
     */
    void assign(PendingCall call, int maximum) {
        mMaximum = maximum;
        BackendConnection idle = takeIdle(call.request());
        while (idle != null) {
            if (idle.begin(call)) {
                return;
            }
            idle = takeIdle(call.request());
        }
        for (BackendConnection connection : mConnections) {
            if (connection.isUnclaimed()) {
                connection.claim(call);
                return;
            }
        }
        if (mConnections.size() >= maximum && !mIdle.isEmpty()) {
            mIdle.peekLast().abandon();
        }
        if (mConnections.size() >= maximum) {
            failLater(call, CallFailure.Kind.NO_CONNECTION_FREE);
            return;
        }
        open(call);
    }

    /** Opens a connection without a call, to check whether the server accepts connections. */
    void check(Consumer<ServerReachability> listener) {
        BackendConnection connection;
        try {
            connection = mContext.opener().open(this);
        } catch (ChannelException exception) {
            mContext.eventLoop().execute(() -> listener.accept(ServerReachability.UNKNOWN));
            return;
        }
        mConnections.add(connection);
        mContext.counts().begun();
        connection.setReachabilityListener(listener);
    }

    /** Adds a connection to the idle ones. */
    void addIdle(BackendConnection connection) {
        mIdle.addFirst(connection);
        mContext.counts().idleChanged(1);
        mContext.onIdle().run();
    }

    void closed(BackendConnection connection, boolean wasIdle) {
        if (wasIdle && mIdle.remove(connection)) {
            mContext.counts().idleChanged(-1);
        }
        if (mConnections.remove(connection)) {
            mContext.counts().closed();
        }
    }

    void bytesReceived(int bytes) {
        mLastReceivedNanos = nowNanos();
        mContext.counts().received(bytes);
    }

    /**
     * Records that the server closed an idle connection without having stated an idle timeout, and
     * lowers the assumed timeout accordingly.
     */
    void closedWhenIdle(long idleNanos) {
        long limitNanos = IdleTimes.withMargin(idleNanos);
        mUnstatedIdleNanos =
                Math.min(mUnstatedIdleNanos, Math.max(limitNanos, MINIMUM_OBSERVED_IDLE_NANOS));
    }

    /** Records that the server reset an idle connection, which is closed now. */
    void resetWhenIdle() {
        mContext.onIdleReset().accept(mServer);
    }

    /**
     * Records that a connection was broken off after it had been idle, without a byte of an answer.
     */
    void brokenOffAfterIdle(long idleNanos, long elapsedNanos, long roundTripNanos) {
        mContext.idleReusePolicy().brokenOff(idleNanos, elapsedNanos, roundTripNanos, nowNanos());
    }

    /** Records that a server sent more bytes than any answer may have. */
    void answerOversized(long bytes) {
        mContext.counts().answerOversized();
        sLogger.atLevel(mOversizedLogged ? Level.DEBUG : Level.WARN)
                .log(
                        "BACKEND  {} of {} sent {} bytes without an end of its answer. Further"
                                + " ones are counted only.",
                        mServer.id(),
                        address(),
                        bytes);
        mOversizedLogged = true;
    }

    /** Records that an answer ended before it was complete. */
    void answerIncomplete() {
        mContext.counts().answerIncomplete();
    }

    /** Records that a connection did not open in time. */
    void openTimedOut() {
        mContext.idleReusePolicy().openTimedOut(nowNanos());
    }

    /**
     * Records that a call timed out. If it has no answer, its connection may have gone silent and
     * others with it, so the idle connections that were not used since are closed: if the server
     * has sent nothing on any connection, or if the call was a long one.
     */
    void timedOut(PendingCall call) {
        boolean isServerSilent = mLastReceivedNanos - call.sentNanos() < 0;
        if (isServerSilent || isLong(call)) {
            closeUnusedSince(call);
        }
    }

    /** Records that a call was cancelled, which shows a silent connection only after some time. */
    void cancelled(PendingCall call) {
        if (isLong(call)) {
            closeUnusedSince(call);
        }
    }

    private boolean isLong(PendingCall call) {
        return nowNanos() - call.sentNanos() >= MINIMUM_SILENCE_NANOS;
    }

    private void closeUnusedSince(PendingCall call) {
        if (!call.isWritten() || call.hasAnswerBegun()) {
            return;
        }
        long elapsedNanos = nowNanos() - call.sentNanos();
        for (BackendConnection connection : List.copyOf(mIdle)) {
            if (connection.idleNanos() >= elapsedNanos) {
                connection.abandon();
            }
        }
    }

    void closeIdle() {
        while (!mIdle.isEmpty()) {
            mIdle.peekFirst().abandon();
        }
    }

    /** Closes idle connections now and those in use after their calls. */
    void retire() {
        for (BackendConnection connection : List.copyOf(mConnections)) {
            connection.retire();
        }
    }

    void close() {
        for (BackendConnection connection : List.copyOf(mConnections)) {
            connection.fail(CallFailure.Kind.BROKEN_OFF);
        }
    }

    /** Closes idle connections that must not be reused any more. */
    void closeExpired() {
        long nowNanos = nowNanos();
        BackendConnection expired = firstExpired(nowNanos);
        while (expired != null) {
            expired.abandon();
            expired = firstExpired(nowNanos);
        }
    }

    boolean hasIdle() {
        return !mIdle.isEmpty();
    }

    private BackendConnection firstExpired(long nowNanos) {
        long limitNanos = mContext.idleReusePolicy().limitNanos(nowNanos);
        for (BackendConnection connection : mIdle) {
            if (connection.isExpired() || connection.idleNanos() >= limitNanos) {
                return connection;
            }
        }
        return null;
    }

    private void failLater(PendingCall call, CallFailure.Kind kind) {
        mContext.eventLoop().execute(() -> call.fail(kind));
    }

    private BackendConnection takeIdle(BackendRequest request) {
        closeExpired();
        long nowNanos = nowNanos();
        long limitNanos = mContext.idleReusePolicy().limitNanos(request.repeatable(), nowNanos);
        Iterator<BackendConnection> connections = mIdle.iterator();
        while (connections.hasNext()) {
            BackendConnection connection = connections.next();
            if (isUnambiguous(connection, request) && connection.idleNanos() < limitNanos) {
                connections.remove();
                mContext.counts().idleChanged(-1);
                return connection;
            }
        }
        return null;
    }

    /**
     * Returns whether no late second answer on a connection could be mistaken for the answer to a
     * request. One with the id of the request could, and a refusal without an id; the latter does
     * no harm to a request that may be repeated.
     */
    private static boolean isUnambiguous(BackendConnection connection, BackendRequest request) {
        return !connection.hasLastServed(request.requestId())
                && (request.repeatable() || !connection.hadAnonymousRefusal());
    }

    private void open(PendingCall call) {
        BackendConnection connection;
        try {
            connection = mContext.opener().open(this);
        } catch (ChannelException exception) {
            sLogger.warn("BACKEND  No socket for {}.", address(), exception);
            failLater(call, CallFailure.Kind.NOT_CONNECTED);
            return;
        }
        mConnections.add(connection);
        mContext.counts().begun();
        connection.claim(call);
    }
}
