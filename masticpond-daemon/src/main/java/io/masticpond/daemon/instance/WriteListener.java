package io.masticpond.daemon.instance;

import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;

/**
 * Listener that tracks the write of one message and records on the message whether any byte of it
 * was sent.
 */
final class WriteListener implements ChannelProgressiveFutureListener {

    private final OutboundMessage mMessage;
    private final Runnable mCompletionCallback;

    WriteListener(OutboundMessage message, Runnable completionCallback) {
        mMessage = message;
        mCompletionCallback = completionCallback;
    }

    @Override
    public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
        if (progress > 0) {
            mMessage.writeBegan();
        }
    }

    @Override
    public void operationComplete(ChannelProgressiveFuture future) {
        if (future.isSuccess()) {
            mMessage.writeBegan();
        } else {
            mMessage.notWritten("The connection broke: " + future.cause().getMessage());
        }
        mCompletionCallback.run();
    }
}
