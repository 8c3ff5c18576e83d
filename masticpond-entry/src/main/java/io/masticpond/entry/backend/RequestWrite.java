package io.masticpond.entry.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;

/** Write of one request to one connection, which tracks whether any byte has been written. */
final class RequestWrite implements ChannelProgressiveFutureListener {

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
