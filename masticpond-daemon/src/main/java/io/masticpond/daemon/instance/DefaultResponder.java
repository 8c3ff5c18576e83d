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
        if (mCallId == 0 || !mAnswered.compareAndSet(false, true)) {
            return;
        }
        try {
            mEventLoop.execute(() -> mConnection.answer(mCallId, answer));
        } catch (RejectedExecutionException e) {
            // The links are closed, so the call of the other side ends as lost.
            mAnswered.set(true);
        }
    }

    @Override
    public void refuse(String reason) {
        answer(
                Envelope.newBuilder()
                        .setLinkError(LinkError.newBuilder().setReason(reason))
                        .build());
    }
}
