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
 * Queue of the messages to one instance on one lane, with the connections that carry them.
 *
 * <p>Any thread may reserve space; all other methods run on the event loop of the links. When the
 * queue is full, a reservation fails and the message is not queued.
 */
final class PeerLane {

    private static final int MAXIMUM_BACKOFF_SHIFT = 16;

    private final LinkSettings mSettings;
    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final Runnable mDialAction;
    private final AtomicLong mReservedBytes = new AtomicLong();
    private final AtomicInteger mReservedCalls = new AtomicInteger();
    private final Queue<OutboundMessage> mQueue = new ArrayDeque<>();
    private final List<Connection> mConnections = new ArrayList<>();
    private boolean mDialing;
    private int mConsecutiveFailures;
    private long mNextDialNanos;

    PeerLane(
            LinkSettings settings,
            TimeSource timeSource,
            UniformRandomProvider random,
            Runnable dialAction) {
        mSettings = settings;
        mTimeSource = timeSource;
        mRandom = random;
        mDialAction = dialAction;
        mNextDialNanos = timeSource.monotonicNanos();
    }

    /**
     * Reserves space for a message; may be called from any thread. {@link #release} returns the
     * space.
     */
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

    /** Returns the reservation of a call that ended. */
    void endCall(OutboundMessage message) {
        if (message instanceof OutboundCall) {
            mReservedCalls.decrementAndGet();
        }
    }

    private void release(OutboundMessage message) {
        mReservedBytes.addAndGet(-message.bytes());
    }

    /** Queues a message for which space was reserved. */
    void submit(OutboundMessage message) {
        mQueue.add(message);
        writeQueued();
    }

    /**
     * Writes queued messages while the connection is writable, or dials if there is no connection.
     */
    void writeQueued() {
        if (mQueue.isEmpty()) {
            return;
        }
        if (!mConnections.isEmpty()) {
            writeTo(mConnections.get(0));
        } else if (!mDialing) {
            if (mTimeSource.monotonicNanos() - mNextDialNanos < 0) {
                dropQueued("The last connection failed a moment ago.");
            } else {
                mDialing = true;
                mDialAction.run();
            }
        }
    }

    /** Adds a connection that has become ready. */
    void connected(Connection connection) {
        if (connection.isDialer()) {
            mDialing = false;
        }
        mConsecutiveFailures = 0;
        mConnections.add(connection);
        writeQueued();
    }

    /** Removes a connection that was ready. */
    void disconnected(Connection connection) {
        mConnections.remove(connection);
        writeQueued();
    }

    /**
     * Records that dialing failed, and schedules the next attempt with exponential backoff and
     * jitter.
     */
    void dialFailed(String reason) {
        mDialing = false;
        long maximumNanos = mSettings.maximumBackoff().toNanos();
        long backoffNanos =
                mSettings.minimumBackoff().toNanos()
                        << Math.min(mConsecutiveFailures, MAXIMUM_BACKOFF_SHIFT);
        long boundedNanos = Math.min(maximumNanos, backoffNanos);
        mConsecutiveFailures++;
        mNextDialNanos =
                mTimeSource.monotonicNanos()
                        + boundedNanos / 2
                        + mRandom.nextLong(boundedNanos / 2 + 1);
        if (mConnections.isEmpty()) {
            dropQueued(reason);
        }
    }

    /**
     * Resets the backoff, so that the next message dials immediately, because the address has
     * changed.
     */
    void resetBackoff() {
        mConsecutiveFailures = 0;
        mNextDialNanos = mTimeSource.monotonicNanos();
    }

    /** Drops the queued messages and closes the connections. */
    void close(String reason) {
        dropQueued(reason);
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

    private void dropQueued(String reason) {
        for (OutboundMessage message = mQueue.poll(); message != null; message = mQueue.poll()) {
            release(message);
            message.notWritten(reason);
        }
    }
}
