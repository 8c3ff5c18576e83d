package io.masticpond.entry.http;

import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * The open connections of one server and what they share. Traffic thread only, but for counts.
 *
 * <p>One timer serves all connections: it fires when the first of them may be due, and at least a
 * few times per idle timeout.
 *
 * @since 0.2
 */
final class EntryConnections {

    private static final long SHORTEST_GAP = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int LOOKS_PER_IDLE_TIMEOUT = 4;

    private final EventExecutor mLoop;
    private final RequestHandler mHandler;
    private final Supplier<RequestLimits> mLimits;
    private final TimeSource mTime;
    private final HttpEntryOptions mOptions;
    private final ByteBudget mBudget;
    private final HeadParser mHeadParser = new HeadParser();
    private final AnswerEncoder mEncoder = new AnswerEncoder();
    private final List<ClientConnection> mAll = new ArrayList<>();
    private final AtomicInteger mOpenRequests = new AtomicInteger();
    private final AtomicInteger mOpenConnections = new AtomicInteger();

    private byte[] mHeadBytes = new byte[RequestLimits.DEFAULT.headerBytes()];
    private boolean mIsDraining;
    private boolean mIsClosed;
    private long mDrainBegin;
    private ScheduledFuture<?> mLook;
    private long mLookAt;

    EntryConnections(
            EventExecutor loop,
            RequestHandler handler,
            Supplier<RequestLimits> limits,
            TimeSource time,
            HttpEntryOptions options) {
        mLoop = Assert.notNull(loop, "An event loop");
        mHandler = Assert.notNull(handler, "A request handler");
        mLimits = Assert.notNull(limits, "A supplier of limits");
        mTime = Assert.notNull(time, "A time source");
        mOptions = Assert.notNull(options, "Options");
        mBudget = new ByteBudget(options.bufferedBytes());
    }

    void add(ClientConnection connection) {
        if (mIsClosed) {
            connection.close();
        }
        connection.setIndex(mAll.size());
        mAll.add(connection);
        mOpenConnections.incrementAndGet();
        scheduleCheckWithin(limits().idleTimeout().toNanos());
    }

    void remove(ClientConnection connection) {
        ClientConnection last = mAll.remove(mAll.size() - 1);
        if (last != connection) {
            last.setIndex(connection.index());
            mAll.set(connection.index(), last);
        }
        mOpenConnections.decrementAndGet();
    }

    /** Begins a planned stop: answers from now on close their connections. */
    void drain() {
        if (mIsDraining) {
            return;
        }
        mIsDraining = true;
        mDrainBegin = now();
        scheduleCheckWithin(mOptions.drainPause().toNanos());
    }

    /** Closes all connections at once. */
    void closeAll() {
        mIsClosed = true;
        for (int i = mAll.size() - 1; i >= 0; i--) {
            if (i < mAll.size()) {
                mAll.get(i).close();
            }
        }
        if (mLook != null) {
            mLook.cancel(false);
            mLook = null;
        }
    }

    /** Makes sure that all connections are looked at for what is due, after a time at most. */
    void scheduleCheckWithin(long nanos) {
        long delay = Math.max(nanos, SHORTEST_GAP);
        long due = now() + delay;
        if (mLook != null) {
            if (mLookAt - due <= 0) {
                return;
            }
            mLook.cancel(false);
        }
        mLookAt = due;
        mLook = mLoop.schedule(this::checkConnections, delay, TimeUnit.NANOSECONDS);
    }

    /** Looks at all connections now. */
    void checkConnections() {
        mLook = null;
        long now = now();
        long next = limits().idleTimeout().toNanos() / LOOKS_PER_IDLE_TIMEOUT;
        for (int i = mAll.size() - 1; i >= 0; i--) {
            if (i < mAll.size()) {
                next = Math.min(next, mAll.get(i).check(now));
            }
        }
        if (!mAll.isEmpty()) {
            scheduleCheckWithin(next);
        }
    }

    boolean isDraining() {
        return mIsDraining;
    }

    long drainBegin() {
        return mDrainBegin;
    }

    long now() {
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

    ByteBudget budget() {
        return mBudget;
    }

    HeadParser headParser() {
        return mHeadParser;
    }

    AnswerEncoder encoder() {
        return mEncoder;
    }

    /** Lends the one array into which heads are copied to be read. */
    byte[] headBytes(int length) {
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
}
