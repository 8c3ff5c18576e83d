package io.masticpond.entry.backend;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Default implementation of {@link BackendConnections} on a single Netty event loop. The most
 * recently used connection is reused first; one that the server may be about to close is not
 * reused.
 *
 * @since 0.2
 */
public final class NettyBackendConnections implements BackendConnections {

    private static final long SWEEP_MILLIS = 1000;

    private final EventLoop mEventLoop;
    private final TimeSource mTimeSource;
    private final PoolContext mContext;
    private final ConnectionCounts mCounts = new ConnectionCounts();
    private final Map<BackendServerId, ServerPool> mPools = new HashMap<>();

    /** Pools of servers that were removed while calls were in progress. */
    private final List<ServerPool> mRetired = new ArrayList<>();

    private Consumer<RegisteredServer> mIdleResetListener = server -> {};
    private boolean mSweepScheduled;
    private boolean mClosed;

    /**
     * Creates an instance for an event loop, on which all methods must be called.
     *
     * @param eventLoop the traffic thread
     * @param timeSource the clock
     * @param options the options
     * @param budget the budget of the bodies of responses, confined to the same event loop
     */
    public NettyBackendConnections(
            EventLoop eventLoop,
            TimeSource timeSource,
            ConnectionOptions options,
            BodyBudget budget) {
        mEventLoop = Assert.notNull(eventLoop, "An event loop");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mContext =
                new PoolContext(
                        Assert.notNull(options, "Connection options"),
                        new ConnectionOpener(eventLoop, options),
                        eventLoop,
                        timeSource,
                        mCounts,
                        new IdleReusePolicy(),
                        Assert.notNull(budget, "A body budget"),
                        this::scheduleSweep,
                        server -> mIdleResetListener.accept(server));
    }

    @Override
    public BackendCall send(
            RegisteredServer server,
            int maximumConnections,
            BackendRequest request,
            BackendCallListener listener) {
        return send(poolOf(server), maximumConnections, request, listener);
    }

    @Override
    public BackendCall sendOnNewConnection(
            RegisteredServer server, BackendRequest request, BackendCallListener listener) {
        ServerPool pool = new ServerPool(server, mContext);
        BackendCall call = send(pool, 1, request, listener);
        pool.retire();
        return call;
    }

    private BackendCall send(
            ServerPool pool,
            int maximumConnections,
            BackendRequest request,
            BackendCallListener listener) {
        RequestHeadWriter.check(request);
        PendingCall call = new PendingCall(pool, request, listener, mTimeSource.monotonicNanos());
        if (mClosed) {
            mEventLoop.execute(() -> call.fail(CallFailure.Kind.NOT_CONNECTED));
            return call;
        }
        call.setTimer(
                mEventLoop.schedule(call::timeOut, request.timeoutNanos(), TimeUnit.NANOSECONDS));
        pool.assign(call, maximumConnections);
        return call;
    }

    @Override
    public void check(RegisteredServer server, Consumer<ServerReachability> listener) {
        if (mClosed) {
            mEventLoop.execute(() -> listener.accept(ServerReachability.UNKNOWN));
            return;
        }
        ServerPool pool = mPools.get(server.id());
        if (pool != null && pool.address().equals(server.address())) {
            pool.check(listener);
        } else {
            checkOnce(server, listener);
        }
    }

    /**
     * Checks a server that has no pool, without creating one, as it may have been removed from the
     * registry; the connection is closed afterwards.
     */
    private void checkOnce(RegisteredServer server, Consumer<ServerReachability> listener) {
        ServerPool pool = new ServerPool(server, mContext);
        pool.check(
                reachability -> {
                    listener.accept(reachability);
                    pool.retire();
                });
    }

    @Override
    public void setIdleResetListener(Consumer<RegisteredServer> listener) {
        mIdleResetListener = Assert.notNull(listener, "A listener");
    }

    @Override
    public long roundTripNanos(RegisteredServer server) {
        ServerPool pool = mPools.get(server.id());
        return pool == null ? 0 : pool.roundTripNanos();
    }

    @Override
    public boolean isConnected(ServiceId service) {
        for (ServerPool pool : mPools.values()) {
            if (pool.service().equals(service) && pool.isConnected()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void removeServer(RegisteredServer server) {
        ServerPool pool = mPools.remove(server.id());
        if (pool != null) {
            pool.retire();
            mRetired.removeIf(ServerPool::isEmpty);
            if (!pool.isEmpty()) {
                mRetired.add(pool);
            }
        }
    }

    /**
     * Closes the idle connections to a server that may be cut off; calls in progress continue.
     *
     * @param server the server
     */
    public void closeIdle(RegisteredServer server) {
        ServerPool pool = mPools.get(server.id());
        if (pool != null) {
            pool.closeIdle();
        }
    }

    /**
     * Returns the counters of connections.
     *
     * @return the live counters
     */
    public ConnectionCounts counts() {
        return mCounts;
    }

    @Override
    public void close() {
        mClosed = true;
        mPools.values().forEach(ServerPool::close);
        mRetired.forEach(ServerPool::close);
        mPools.clear();
        mRetired.clear();
    }

    private ServerPool poolOf(RegisteredServer server) {
        ServerPool pool = mPools.get(server.id());
        if (pool != null && pool.address().equals(server.address())) {
            return pool;
        }
        removeServer(server);
        ServerPool created = new ServerPool(server, mContext);
        mPools.put(server.id(), created);
        return created;
    }

    private void scheduleSweep() {
        if (mSweepScheduled) {
            return;
        }
        mSweepScheduled = true;
        mEventLoop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        mSweepScheduled = false;
        boolean hasIdle = false;
        for (ServerPool pool : mPools.values()) {
            pool.closeExpired();
            hasIdle |= pool.hasIdle();
        }
        if (hasIdle) {
            scheduleSweep();
        }
    }
}
