package io.masticpond.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import java.nio.charset.StandardCharsets;

/**
 * Output side of a client's connection, including its orderly close. Confined to the traffic
 * thread.
 *
 * @since 0.2
 */
final class ClientOutput {

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int MAXIMUM_INLINE_BODY_BYTES = 8 * 1024;
    private static final int MAXIMUM_LINGER_TIMEOUTS = 5;
    private static final long UNSET = Long.MIN_VALUE;

    private final EntryConnections mConnections;
    private final ChannelHandlerContext mContext;
    private final ChannelFutureListener mWriteListener = this::writeCompleted;

    private int mPendingWrites;
    private long mUnsentBytes;
    private long mWriteProgressNanos;
    private long mIdleSinceNanos;
    private long mLingerBeginNanos = UNSET;
    private long mLingerReadNanos;
    private boolean mIsFlushDue;
    private boolean mIsClosing;

    ClientOutput(EntryConnections connections, ChannelHandlerContext context) {
        mConnections = connections;
        mContext = context;
        mIdleSinceNanos = connections.nowNanos();
    }

    /** Writes an answer; {@link #flush} sends it. */
    void write(Exchange exchange, OutgoingAnswer answer, boolean isLast) {
        ByteBuf body = answer.body();
        boolean isHead = exchange.isHeadMethod();
        int length = AnswerEncoder.hasBody(answer.status(), isHead) ? body.readableBytes() : 0;
        // A copy is made only of a body that is likely written at once. One behind others may wait
        // for
        // the client, and its memory would be used twice.
        boolean isInline =
                length <= MAXIMUM_INLINE_BODY_BYTES && (length == 0 || mPendingWrites == 0);
        String connection = isLast ? "close" : exchange.isHttp10() ? "keep-alive" : null;
        int extraCapacity = isInline ? length : 0;
        ByteBuf head =
                mConnections
                        .encoder()
                        .encode(mContext.alloc(), answer, isHead, connection, extraCapacity);
        if (mPendingWrites == 0) {
            mUnsentBytes = UNSET;
        }
        mPendingWrites++;
        mIsFlushDue = true;
        if (isInline) {
            head.writeBytes(body, body.readerIndex(), length);
            addWriteListener(mContext.write(head), body, length);
        } else {
            mContext.write(head);
            addWriteListener(mContext.write(body.retain()), body, length);
        }
    }

    /**
     * Releases the body once it has been written, since its bytes are held as long as they wait for
     * the client.
     */
    private void addWriteListener(ChannelFuture written, ByteBuf body, int length) {
        if (length == 0) {
            body.release();
            written.addListener(mWriteListener);
            return;
        }
        written.addListener(
                (ChannelFutureListener)
                        future -> {
                            body.release();
                            writeCompleted(future);
                        });
    }

    /** Writes {@code 100 Continue}, upon which the client sends the body. */
    void writeContinue() {
        mContext.write(Unpooled.wrappedBuffer(CONTINUE));
        mIsFlushDue = true;
    }

    /** Flushes what has been written since the last flush, if anything. */
    void flush() {
        if (!mIsFlushDue) {
            return;
        }
        mIsFlushDue = false;
        mContext.flush();
        if (mPendingWrites > 0) {
            mConnections.scheduleCheckWithin(mConnections.options().writeStall().toNanos());
        }
    }

    /** Starts to close the connection: answers already written are still sent, but no others. */
    void beginClose() {
        mIsClosing = true;
        if (mPendingWrites == 0) {
            beginLinger();
        }
    }

    boolean isClosing() {
        return mIsClosing;
    }

    /** Returns whether an answer has not been written to the network completely. */
    boolean isWriting() {
        return mPendingWrites > 0;
    }

    /** Returns the monotonic time since which all answers have been sent. */
    long idleSinceNanos() {
        return mIdleSinceNanos;
    }

    /** Returns whether the output is closed and only the client's close is awaited. */
    boolean isLingering() {
        return mLingerBeginNanos != UNSET;
    }

    /**
     * Records that bytes were received and discarded after the output was closed; the client may
     * still be sending.
     */
    void recordDiscardedBytes() {
        if (isLingering()) {
            mLingerReadNanos = mConnections.nowNanos();
        }
    }

    /**
     * Closes a connection whose linger timeout has elapsed, or returns the nanoseconds that remain.
     */
    long checkLinger(long nowNanos) {
        long lingerNanos = mConnections.options().lingerTimeout().toNanos();
        long inactivityNanos = lingerNanos - (nowNanos - mLingerReadNanos);
        return closeIfDue(
                Math.min(
                        inactivityNanos,
                        MAXIMUM_LINGER_TIMEOUTS * lingerNanos - (nowNanos - mLingerBeginNanos)));
    }

    /**
     * Closes a connection whose client reads nothing, or returns the nanoseconds that remain until
     * then.
     */
    long checkWrites(long nowNanos) {
        return closeIfDue(mConnections.options().writeStall().toNanos() - stallNanos(nowNanos));
    }

    /**
     * Returns for how long the client has taken nothing of the answers that are being written, in
     * nanoseconds; 0 if there are none. The precision is that of the interval between two calls.
     */
    long stallNanos(long nowNanos) {
        if (!isWriting()) {
            return 0;
        }
        ChannelOutboundBuffer buffer = mContext.channel().unsafe().outboundBuffer();
        long unsentBytes =
                buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
        if (unsentBytes != mUnsentBytes) {
            mUnsentBytes = unsentBytes;
            mWriteProgressNanos = nowNanos;
        }
        return nowNanos - mWriteProgressNanos;
    }

    private long closeIfDue(long remainingNanos) {
        if (remainingNanos > 0) {
            return remainingNanos;
        }
        mContext.close();
        return Long.MAX_VALUE;
    }

    private void writeCompleted(ChannelFuture future) {
        mPendingWrites--;
        mConnections.requestClosed();
        if (!future.isSuccess()) {
            mContext.close();
            return;
        }
        if (mPendingWrites > 0) {
            return;
        }
        if (mIsClosing) {
            mContext.executor().execute(this::beginLinger);
        } else {
            mIdleSinceNanos = mConnections.nowNanos();
        }
    }

    /**
     * Closes the output and keeps reading for a while, because a close with unread bytes would
     * reset the connection.
     */
    private void beginLinger() {
        if (!(mContext.channel() instanceof DuplexChannel channel)) {
            mContext.close();
            return;
        }
        if (isLingering() || !channel.isActive()) {
            return;
        }
        mLingerBeginNanos = mConnections.nowNanos();
        mLingerReadNanos = mLingerBeginNanos;
        channel.shutdownOutput()
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                mContext.close();
                            }
                        });
        mConnections.scheduleCheckWithin(mConnections.options().lingerTimeout().toNanos());
    }
}
