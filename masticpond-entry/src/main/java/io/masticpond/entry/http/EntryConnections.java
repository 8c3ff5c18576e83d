package io.masticpond.entry.http;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetListener;
import io.masticpond.core.body.BodyDirection;
import io.masticpond.core.body.StalledConnections;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Registry of the open connections of one server and their shared resources. Confined to the
 * traffic thread, except for the counters.
 *
 * <p>A single timer serves all connections. It fires when the first timeout of a connection may be
 * due, and at least several times per idle timeout.
 *
 * @since 0.2
 */
final class EntryConnections {

    private static final long MINIMUM_CHECK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int CHECKS_PER_IDLE_TIMEOUT = 4;

    /** Interval in which the progress of clients is checked while responses wait for room. */
    private static final long STALL_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventExecutor mLoop;
    private final RequestHandler mHandler;
    private final Supplier<RequestLimits> mLimits;
    private final TimeSource mTime;
    private final HttpEntryOptions mOptions;
    private final BodyBudget mBudget;
    private final HeadParser mHeadParser = new HeadParser();
    private final AnswerEncoder mEncoder = new AnswerEncoder();
    private final List<ClientConnection> mClientConnections = new ArrayList<>();
    private final AtomicInteger mOpenRequests = new AtomicInteger();
    private final AtomicInteger mOpenConnections = new AtomicInteger();

    private byte[] mHeadBytes = new byte[RequestLimits.DEFAULT.headerBytes()];
    private boolean mIsDraining;
    private boolean mIsClosingIdle;
    private boolean mIsClosed;
    private ScheduledFuture<?> mCheckTimer;
    private long mCheckDueNanos;

    EntryConnections(
            EventExecutor loop,
            RequestHandler handler,
            Supplier<RequestLimits> limits,
            TimeSource time,
            HttpEntryOptions options,
            BodyBudget budget) {
        mLoop = Assert.notNull(loop, "An event loop");
        mHandler = Assert.notNull(handler, "A request handler");
        mLimits = Assert.notNull(limits, "A supplier of limits");
        mTime = Assert.notNull(time, "A time source");
        mOptions = Assert.notNull(options, "Options");
        mBudget = Assert.notNull(budget, "A body budget");
        mBudget.addListener(new ExhaustionListener());
    }

    void add(ClientConnection connection) {
        if (mIsClosed) {
            connection.close();
        }
        connection.setIndex(mClientConnections.size());
        mClientConnections.add(connection);
        mOpenConnections.incrementAndGet();
        scheduleCheckWithin(maximumIdleNanos());
    }

    void remove(ClientConnection connection) {
        ClientConnection last = mClientConnections.remove(mClientConnections.size() - 1);
        if (last != connection) {
            last.setIndex(connection.index());
            mClientConnections.set(connection.index(), last);
        }
        mOpenConnections.decrementAndGet();
    }

    /**
     * Begins a planned stop: from now on a connection is closed after the answer to its last
     * pending request.
     */
    void drain() {
        mIsDraining = true;
    }

    /** Closes connections from now on once they have been idle for the drain pause. */
    void closeIdle() {
        mIsClosingIdle = true;
        checkConnections();
    }

    /** Closes all connections immediately. */
    void closeAll() {
        mIsClosed = true;
        for (int i = mClientConnections.size() - 1; i >= 0; i--) {
            if (i < mClientConnections.size()) {
                mClientConnections.get(i).close();
            }
        }
        if (mCheckTimer != null) {
            mCheckTimer.cancel(false);
            mCheckTimer = null;
        }
    }

    /** Schedules a check of the timeouts of all connections within the given time. */
    void scheduleCheckWithin(long nanos) {
        long delay = Math.max(nanos, MINIMUM_CHECK_DELAY_NANOS);
        long due = nowNanos() + delay;
        if (mCheckTimer != null) {
            if (mCheckDueNanos - due <= 0) {
                return;
            }
            mCheckTimer.cancel(false);
        }
        mCheckDueNanos = due;
        mCheckTimer = mLoop.schedule(this::checkConnections, delay, TimeUnit.NANOSECONDS);
    }

    /** Checks the timeouts of all connections now. */
    void checkConnections() {
        if (mCheckTimer != null) {
            mCheckTimer.cancel(false);
            mCheckTimer = null;
        }
        long nowNanos = nowNanos();
        long next = limits().idleTimeout().toNanos() / CHECKS_PER_IDLE_TIMEOUT;
        for (int i = mClientConnections.size() - 1; i >= 0; i--) {
            if (i < mClientConnections.size()) {
                next = Math.min(next, mClientConnections.get(i).checkTimeouts(nowNanos));
            }
        }
        if (mBudget.isExhausted(BodyDirection.RESPONSES)) {
            closeStalled(nowNanos);
            next = Math.min(next, STALL_CHECK_NANOS);
        }
        if (!mClientConnections.isEmpty()) {
            scheduleCheckWithin(next);
        }
    }

    /** Closes the connections that have stalled longest until no response waits for room. */
    private void closeStalled(long nowNanos) {
        for (int i = mClientConnections.size(); i > 0 && mBudget.responses().isAnyWaiting(); i--) {
            Optional<ClientConnection> longest =
                    StalledConnections.choose(
                            mClientConnections, each -> each.stallNanos(nowNanos));
            if (longest.isEmpty()) {
                return;
            }
            longest.get().close();
        }
    }

    /** Runs a task on the traffic thread after the current one. */
    void execute(Runnable task) {
        mLoop.execute(task);
    }

    boolean isDraining() {
        return mIsDraining;
    }

    /** Returns for how long a connection may be idle before it is closed, in nanoseconds. */
    long maximumIdleNanos() {
        Duration maximum = mIsClosingIdle ? mOptions.drainPause() : limits().idleTimeout();
        return maximum.toNanos();
    }

    long nowNanos() {
        return mTime.monotonicNanos();
    }

    RequestHandler handler() {
        return mHandler;
    }

    RequestLimits limits() {
        return mLimits.get();
    }

    HttpEntryOptions options() {
        return mOptions;
    }

    BodyBudget budget() {
        return mBudget;
    }

    HeadParser headParser() {
        return mHeadParser;
    }

    AnswerEncoder encoder() {
        return mEncoder;
    }

    /** Returns the shared array into which a head is copied to be parsed. */
    byte[] headBuffer(int length) {
        if (mHeadBytes.length < length) {
            mHeadBytes = new byte[length];
        }
        return mHeadBytes;
    }

    void requestOpened() {
        mOpenRequests.incrementAndGet();
    }

    void requestClosed() {
        mOpenRequests.decrementAndGet();
    }

    int openRequests() {
        return mOpenRequests.get();
    }

    int openConnections() {
        return mOpenConnections.get();
    }

    /** Listener that starts to check the progress of clients when responses wait for room. */
    private final class ExhaustionListener implements BodyBudgetListener {

        @Override
        public void onExhausted(BodyDirection direction, long heldBytes, long limitBytes) {
            if (direction == BodyDirection.RESPONSES && !mClientConnections.isEmpty()) {
                scheduleCheckWithin(STALL_CHECK_NANOS);
            }
        }

        @Override
        public void onFree(BodyDirection direction, long heldBytes, long limitBytes) {}
    }
}
