package io.masticpond.entry.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;

/** Write of one request to one connection, which tracks whether any byte has been written. */
final class RequestWrite implements ChannelProgressiveFutureListener {

    /** Message of the system's error EPIPE. */
    private static final String BROKEN_PIPE = "Broken pipe";

    private final PendingCall mCall;
    private final Runnable mEndHandler;
    private boolean mFlushed;

    /** Null unless the write failed. */
    private Throwable mFailure;

    RequestWrite(PendingCall call, Runnable endHandler) {
        mCall = call;
        mEndHandler = endHandler;
    }

    /** Writes the head and the body in one flush. */
    void start(Channel channel) {
        BackendRequest request = mCall.request();
        ByteBuf head = RequestHeadWriter.write(channel.alloc(), request);
        ChannelProgressivePromise headWritten = channel.newProgressivePromise();
        headWritten.addListener(this);
        if (request.body().isReadable()) {
            channel.write(head, headWritten);
            channel.writeAndFlush(request.body().retainedDuplicate())
                    .addListener(future -> ended(future.cause()));
        } else {
            headWritten.addListener(future -> ended(future.cause()));
            channel.writeAndFlush(head, headWritten);
        }
    }

    /** Returns whether the complete request was written to the connection. */
    boolean isFlushed() {
        return mFlushed;
    }

    boolean isFailed() {
        return mFailure != null;
    }

    /**
     * Returns what the end of the stream means if a read returns it now. The system reports a reset
     * to one read or write alone. If a write took it, the reads after it return the end of the
     * stream as they do after an orderly close. The first failed write reports EPIPE only if the
     * server had closed its output before the reset.
     */
    InputEnd endOfStream() {
        boolean isOrderly =
                mFailure == null || BROKEN_PIPE.equals(rootCause(mFailure).getMessage());
        return isOrderly ? InputEnd.ORDERLY : InputEnd.UNKNOWN;
    }

    @Override
    public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
        if (progress > 0) {
            mCall.markWritten();
        }
    }

    @Override
    public void operationComplete(ChannelProgressiveFuture future) {
        if (future.isSuccess()) {
            mCall.markWritten();
        }
    }

    @Override
    public String toString() {
        if (mFailure != null) {
            return "failed (" + rootCause(mFailure).getMessage() + ")";
        }
        return mFlushed ? "written" : "not written whole";
    }

    private void ended(Throwable failure) {
        mFlushed = failure == null;
        mFailure = failure;
        mEndHandler.run();
    }

    private static Throwable rootCause(Throwable failure) {
        Throwable cause = failure;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }
}
