package io.masticpond.entry.backend;

import io.masticpond.core.request.Verdict;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Default implementation of {@link BackendCall}: a call from its sending to its end. */
final class PendingCall implements BackendCall {

    private static final Logger sLogger = LoggerFactory.getLogger(PendingCall.class);

    private final ServerPool mPool;
    private final BackendRequest mRequest;
    private final BackendCallListener mListener;
    private final long mSentNanos;
    private Future<?> mTimer;
    private BackendConnection mConnection;
    private boolean mWritten;
    private boolean mAnswerBegun;
    private boolean mEnded;

    PendingCall(
            ServerPool pool, BackendRequest request, BackendCallListener listener, long sentNanos) {
        mPool = pool;
        mRequest = request;
        mListener = listener;
        mSentNanos = sentNanos;
    }

    @Override
    public void cancel() {
        if (mEnded) {
            return;
        }
        end();
        if (mConnection != null) {
            mConnection.releaseCall();
        }
        mPool.cancelled(this);
    }

    @Override
    public boolean isWritten() {
        return mWritten;
    }

    @Override
    public boolean isReadingPaused() {
        return !mEnded && mConnection != null && mConnection.isReadingPaused();
    }

    BackendRequest request() {
        return mRequest;
    }

    long sentNanos() {
        return mSentNanos;
    }

    long deadlineNanos() {
        return mSentNanos + mRequest.timeoutNanos();
    }

    void setTimer(Future<?> timer) {
        mTimer = timer;
    }

    void setConnection(BackendConnection connection) {
        mConnection = connection;
    }

    void markWritten() {
        mWritten = true;
    }

    /** Returns whether the request may still be written now that a connection is available. */
    boolean mayBegin() {
        return mListener.canBegin();
    }

    /** Returns whether the head of an answer was received. */
    boolean hasAnswerBegun() {
        return mAnswerBegun;
    }

    void answerBegan(int status, HttpHeaders headers) {
        mAnswerBegun = true;
        if (!mEnded) {
            notifyListener(() -> mListener.answerBegan(status, headers));
        }
    }

    void answer(BackendAnswer answer) {
        if (mEnded) {
            answer.body().release();
            return;
        }
        end();
        notifyListener(() -> mListener.answered(answer));
    }

    void fail(CallFailure.Kind kind) {
        if (mEnded) {
            return;
        }
        end();
        Verdict verdict = mWritten ? Verdict.MAY_HAVE_RUN : Verdict.DID_NOT_RUN;
        notifyListener(() -> mListener.failed(new CallFailure(verdict, kind)));
    }

    void timeOut() {
        if (mEnded) {
            return;
        }
        boolean isPaused = isReadingPaused();
        if (mConnection != null) {
            mConnection.abandon();
        }
        mPool.timedOut(this);
        fail(isPaused ? CallFailure.Kind.UNREAD : CallFailure.Kind.TIMED_OUT);
    }

    /**
     * Shields the connection, which may serve another call by now, from an exception of the
     * listener.
     */
    private static void notifyListener(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException exception) {
            sLogger.error("BACKEND  The listener of a call failed.", exception);
        }
    }

    private void end() {
        mEnded = true;
        if (mTimer != null) {
            mTimer.cancel(false);
        }
    }
}
