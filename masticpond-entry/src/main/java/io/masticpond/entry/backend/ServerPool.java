package io.masticpond.entry.backend;

import io.masticpond.core.fleet.ServerAddress;
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

/** The connections to one backend server. */
final class ServerPool {

    private static final Logger sLogger = LoggerFactory.getLogger(ServerPool.class);
    private static final long LEAST_LEARNT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final ServerAddress mAddress;
    private final InetSocketAddress mSocketAddress;
    private final PoolContext mContext;
    private final List<BackendConnection> mConnections = new ArrayList<>();

    /** The one used last comes first. */
    private final Deque<BackendConnection> mIdle = new ArrayDeque<>();

    private int mMaximum = 1;
    private long mUnstatedIdleNanos;
    private long mHeardNanos;

    ServerPool(ServerAddress address, PoolContext context) {
        mAddress = address;
        mSocketAddress = ConnectionOpener.socketAddress(address);
        mContext = context;
        mUnstatedIdleNanos = context.options().unstatedIdleNanos();
        mHeardNanos = nowNanos();
    }

    InetSocketAddress socketAddress() {
        return mSocketAddress;
    }

    ServerAddress address() {
        return mAddress;
    }

    ConnectionOptions options() {
        return mContext.options();
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

    boolean isEmpty() {
        return mConnections.isEmpty();
    }

    boolean isOverfull() {
        return mConnections.size() > mMaximum;
    }

    /** Finds a connection for a call: a kept one, one that opens for nobody, or a new one. */
    void place(PendingCall call, int maximum) {
        mMaximum = maximum;
        BackendConnection kept = takeIdle(call.request());
        while (kept != null) {
            if (kept.begin(call)) {
                return;
            }
            kept = takeIdle(call.request());
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

    /** Opens a connection for nobody, to learn whether the server takes any. */
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
        connection.whenTried(listener);
    }

    /** Counts a connection as idle. */
    void idle(BackendConnection connection) {
        mIdle.addFirst(connection);
        mContext.counts().idleChanged(1);
        mContext.whenIdle().run();
    }

    void closed(BackendConnection connection, boolean wasIdle) {
        if (wasIdle && mIdle.remove(connection)) {
            mContext.counts().idleChanged(-1);
        }
        if (mConnections.remove(connection)) {
            mContext.counts().closed();
        }
    }

    void bytesReceived() {
        mHeardNanos = nowNanos();
    }

    /** Hears that the server closed an idle connection, and learns from it if it stated no time. */
    void closedWhenIdle(long idleNanos) {
        long limitNanos = IdleTimes.withMargin(idleNanos);
        mUnstatedIdleNanos = Math.min(mUnstatedIdleNanos, Math.max(limitNanos, LEAST_LEARNT_NANOS));
    }

    /** Hears that a connection broke off, without a byte of an answer, after it had been idle. */
    void brokenOffAfterIdle(long idleNanos, long tookNanos, long roundTripNanos) {
        mContext.idleTrust().brokenOff(idleNanos, tookNanos, roundTripNanos, nowNanos());
    }

    /** Hears that a connection did not open in time. */
    void notOpened() {
        mContext.idleTrust().notOpened(nowNanos());
    }

    /** Hears that a call timed out; a server that was silent all the while is suspect. */
    void timedOut(PendingCall call) {
        if (call.isWritten() && mHeardNanos - call.sentNanos() < 0) {
            closeIdle();
        }
    }

    void closeIdle() {
        while (!mIdle.isEmpty()) {
            mIdle.peekFirst().abandon();
        }
    }

    /** Closes idle connections, and those in use after their calls. */
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

    /** Closes idle connections that must not be used any more. */
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
        long limitNanos = mContext.idleTrust().limitNanos(nowNanos);
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
        long limitNanos = mContext.idleTrust().limitNanos(request.repeatable(), nowNanos);
        Iterator<BackendConnection> connections = mIdle.iterator();
        while (connections.hasNext()) {
            BackendConnection connection = connections.next();
            // A late second answer to the same id would pass for the answer to this send.
            if (!connection.lastServed(request.requestId())
                    && connection.idleNanos() < limitNanos) {
                connections.remove();
                mContext.counts().idleChanged(-1);
                return connection;
            }
        }
        return null;
    }

    private void open(PendingCall call) {
        BackendConnection connection;
        try {
            connection = mContext.opener().open(this);
        } catch (ChannelException exception) {
            sLogger.warn("BACKEND  No socket for {}.", mAddress, exception);
            failLater(call, CallFailure.Kind.NOT_CONNECTED);
            return;
        }
        mConnections.add(connection);
        mContext.counts().begun();
        connection.claim(call);
    }
}
