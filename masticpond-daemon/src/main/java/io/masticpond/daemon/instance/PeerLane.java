package io.masticpond.daemon.instance;

import io.masticpond.core.time.TimeSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The queue of messages to one instance on one lane, and the connections that carry them.
 *
 * <p>Reservations may be made from any thread; all else runs on the thread of the links. When the
 * queue is full a reservation fails, and the message is not taken.
 */
final class PeerLane {

    private static final int LARGEST_SHIFT = 16;

    private final LinkSettings mSettings;
    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final Runnable mDial;
    private final AtomicLong mReservedBytes = new AtomicLong();
    private final AtomicInteger mReservedCalls = new AtomicInteger();
    private final Queue<OutboundMessage> mQueue = new ArrayDeque<>();
    private final List<Connection> mConnections = new ArrayList<>();
    private boolean mDialing;
    private int mFailures;
    private long mNextDialNanos;

    PeerLane(
            LinkSettings settings,
            TimeSource timeSource,
            UniformRandomProvider random,
            Runnable dial) {
        mSettings = settings;
        mTimeSource = timeSource;
        mRandom = random;
        mDial = dial;
        mNextDialNanos = timeSource.monotonicNanos();
    }

    /** Takes room for a message, from any thread; {@link #release} gives it back. */
    boolean reserve(OutboundMessage message) {
        if (message instanceof OutboundCall) {
            if (mReservedCalls.incrementAndGet() > mSettings.maximumCalls()) {
                mReservedCalls.decrementAndGet();
                return false;
            }
        }
        long reserved = mReservedBytes.addAndGet(message.bytes());
        if (reserved <= mSettings.maximumQueuedBytes()) {
            return true;
        }
        mReservedBytes.addAndGet(-message.bytes());
        endCall(message);
        return false;
    }

    /** Gives back the room of a call that ended. */
    void endCall(OutboundMessage message) {
        if (message instanceof OutboundCall) {
            mReservedCalls.decrementAndGet();
        }
    }

    private void release(OutboundMessage message) {
        mReservedBytes.addAndGet(-message.bytes());
    }

    /** Queues a message for which room was reserved. */
    void submit(OutboundMessage message) {
        mQueue.add(message);
        pump();
    }

    /** Writes what waits while the connection takes it; dials if there is no connection. */
    void pump() {
        if (mQueue.isEmpty()) {
            return;
        }
        if (!mConnections.isEmpty()) {
            writeTo(mConnections.get(0));
        } else if (!mDialing) {
            if (mTimeSource.monotonicNanos() - mNextDialNanos < 0) {
                dropAll("The last connection failed a moment ago.");
            } else {
                mDialing = true;
                mDial.run();
            }
        }
    }

    /** Adds a connection that became ready. */
    void connected(Connection connection) {
        if (connection.isDialer()) {
            mDialing = false;
        }
        mFailures = 0;
        mConnections.add(connection);
        pump();
    }

    /** Removes a connection that was ready. */
    void disconnected(Connection connection) {
        mConnections.remove(connection);
        pump();
    }

    /** Notes that dialing failed. */
    void dialFailed(String reason) {
        mDialing = false;
        long longest = mSettings.maximumBackoff().toNanos();
        long backoff = mSettings.minimumBackoff().toNanos() << Math.min(mFailures, LARGEST_SHIFT);
        long bounded = Math.min(longest, backoff);
        mFailures++;
        mNextDialNanos =
                mTimeSource.monotonicNanos() + bounded / 2 + mRandom.nextLong(bounded / 2 + 1);
        if (mConnections.isEmpty()) {
            dropAll(reason);
        }
    }

    /** Lets the next message dial at once, because the address is new. */
    void resetBackoff() {
        mFailures = 0;
        mNextDialNanos = mTimeSource.monotonicNanos();
    }

    /** Drops what waits and closes the connections. */
    void close(String reason) {
        dropAll(reason);
        List.copyOf(mConnections).forEach(connection -> connection.close(reason));
    }

    private void writeTo(Connection connection) {
        boolean written = false;
        while (!mQueue.isEmpty() && connection.isWritable()) {
            OutboundMessage message = mQueue.remove();
            if (message.isAbandoned()) {
                release(message);
                continue;
            }
            connection.write(message, () -> release(message));
            written = true;
        }
        if (written) {
            connection.flush();
        }
    }

    private void dropAll(String reason) {
        for (OutboundMessage message = mQueue.poll(); message != null; message = mQueue.poll()) {
            release(message);
            message.notWritten(reason);
        }
    }
}
