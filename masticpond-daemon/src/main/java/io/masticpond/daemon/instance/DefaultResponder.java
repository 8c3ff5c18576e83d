package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.LinkError;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

/** {@link Responder} that answers one request over the connection on which it was received. */
final class DefaultResponder implements Responder {

    private final Connection mConnection;
    private final long mCallId;
    private final Executor mEventLoop;
    private final AtomicBoolean mAnswered = new AtomicBoolean();
    private volatile Runnable mOnEnd = () -> {};

    DefaultResponder(Connection connection, long callId, Executor eventLoop) {
        mConnection = connection;
        mCallId = callId;
        mEventLoop = eventLoop;
    }

    @Override
    public Incarnation peer() {
        return mConnection.peer();
    }

    @Override
    public void answer(Envelope answer) {
        if (!mAnswered.compareAndSet(false, true)) {
            return;
        }
        if (mCallId == 0) {
            mOnEnd.run();
            return;
        }
        try {
            mEventLoop.execute(() -> mConnection.answer(mCallId, answer, mOnEnd));
        } catch (RejectedExecutionException e) {
            // The links are closed, so the call of the other side ends as lost.
            mOnEnd.run();
        }
    }

    @Override
    public void onEnd(Runnable listener) {
        mOnEnd = listener;
    }

    @Override
    public void refuse(String reason) {
        answer(
                Envelope.newBuilder()
                        .setLinkError(LinkError.newBuilder().setReason(reason))
                        .build());
    }
}
