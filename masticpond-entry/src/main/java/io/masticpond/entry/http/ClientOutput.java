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
 * The writing half of a client's connection, up to its gentle end. Traffic thread only.
 *
 * @since 0.2
 */
final class ClientOutput {

    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final int JOINED_BODY_BYTES = 8 * 1024;
    private static final int LONGEST_LINGER = 5;
    private static final long NONE = Long.MIN_VALUE;

    private final EntryConnections mServer;
    private final ChannelHandlerContext mContext;
    private final ChannelFutureListener mWritten = this::written;

    private int mWriting;
    private long mWriteState;
    private long mWriteSince;
    private long mRestBegin;
    private long mLingerBegin = NONE;
    private long mLingerRead;
    private boolean mIsFlushDue;
    private boolean mIsEnding;

    ClientOutput(EntryConnections server, ChannelHandlerContext context) {
        mServer = server;
        mContext = context;
        mRestBegin = server.now();
    }

    /** Writes an answer; {@link #flush} sends it. */
    void write(Exchange exchange, OutgoingAnswer answer, boolean isLast) {
        ByteBuf body = answer.body();
        boolean isHead = exchange.isHeadMethod();
        int length = AnswerEncoder.hasBody(answer.status(), isHead) ? body.readableBytes() : 0;
        boolean isJoined = length <= JOINED_BODY_BYTES;
        String connection = isLast ? "close" : exchange.isHttp10() ? "keep-alive" : null;
        int room = isJoined ? length : 0;
        ByteBuf head = mServer.encoder().encode(mContext.alloc(), answer, isHead, connection, room);
        if (mWriting == 0) {
            mWriteState = NONE;
        }
        mWriting++;
        mIsFlushDue = true;
        if (isJoined) {
            head.writeBytes(body, body.readerIndex(), length);
            body.release();
            mContext.write(head).addListener(mWritten);
        } else {
            mContext.write(head);
            mContext.write(body).addListener(mWritten);
        }
    }

    /** Lets the client send the body that it holds back. */
    void writeContinue() {
        mContext.write(Unpooled.wrappedBuffer(CONTINUE));
        mIsFlushDue = true;
    }

    /** Sends what has been written since the last time, if anything. */
    void flush() {
        if (!mIsFlushDue) {
            return;
        }
        mIsFlushDue = false;
        mContext.flush();
        if (mWriting > 0) {
            mServer.scheduleCheckWithin(mServer.options().writeStall().toNanos());
        }
    }

    /** Begins the end of the connection: what has been written still goes out, nothing else. */
    void end() {
        mIsEnding = true;
        if (mWriting == 0) {
            finish();
        }
    }

    boolean isEnding() {
        return mIsEnding;
    }

    /** Tells whether an answer has not wholly been given to the network yet. */
    boolean isWriting() {
        return mWriting > 0;
    }

    /** Tells since when all answers have been sent. */
    long idleSinceNanos() {
        return mRestBegin;
    }

    /** Tells whether only the client's close is awaited. */
    boolean isLingering() {
        return mLingerBegin != NONE;
    }

    /** Notes that bytes came after the end; the client may still be sending. */
    void noteDiscarded() {
        if (isLingering()) {
            mLingerRead = mServer.now();
        }
    }

    /** Closes a connection that has lingered long enough, or tells how much longer it may. */
    long checkLinger(long now) {
        long linger = mServer.options().lingerTimeout().toNanos();
        long quiet = linger - (now - mLingerRead);
        return closeIfDue(Math.min(quiet, LONGEST_LINGER * linger - (now - mLingerBegin)));
    }

    /** Closes a connection whose client reads nothing, or tells how much longer it may. */
    long checkWrites(long now) {
        ChannelOutboundBuffer buffer = mContext.channel().unsafe().outboundBuffer();
        long state =
                buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
        if (state != mWriteState) {
            mWriteState = state;
            mWriteSince = now;
        }
        return closeIfDue(mServer.options().writeStall().toNanos() - (now - mWriteSince));
    }

    private long closeIfDue(long left) {
        if (left > 0) {
            return left;
        }
        mContext.close();
        return Long.MAX_VALUE;
    }

    private void written(ChannelFuture future) {
        mWriting--;
        mServer.requestClosed();
        if (!future.isSuccess()) {
            mContext.close();
            return;
        }
        if (mWriting > 0) {
            return;
        }
        if (mIsEnding) {
            mContext.executor().execute(this::finish);
        } else {
            mRestBegin = mServer.now();
        }
    }

    /** Ends the output and reads on for a while: a close with bytes unread would reset. */
    private void finish() {
        if (!(mContext.channel() instanceof DuplexChannel channel)) {
            mContext.close();
            return;
        }
        if (isLingering() || !channel.isActive()) {
            return;
        }
        mLingerBegin = mServer.now();
        mLingerRead = mLingerBegin;
        channel.shutdownOutput()
                .addListener(
                        future -> {
                            if (!future.isSuccess()) {
                                mContext.close();
                            }
                        });
        mServer.scheduleCheckWithin(mServer.options().lingerTimeout().toNanos());
    }
}
