package io.masticpond.entry.http;

import io.netty.handler.codec.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request of a connection and, later, its answer.
 *
 * @since 0.2
 */
final class Exchange implements Responder {

    private static final Logger sLogger = LoggerFactory.getLogger(Exchange.class);

    private final ClientConnection mConnection;
    private final RequestHead mHead;
    private long mCharge;
    private OutgoingAnswer mAnswer;
    private boolean mIsDone;
    private boolean mIsGone;
    private Runnable mAction;

    /**
     * Begins an exchange.
     *
     * @param connection the connection
     * @param head the head of the request, or null if it was refused before it could be read
     * @param charge the bytes to give back to the budget once the request is done
     */
    Exchange(ClientConnection connection, RequestHead head, long charge) {
        mConnection = connection;
        mHead = head;
        mCharge = charge;
    }

    @Override
    public void answer(OutgoingAnswer answer) {
        if (mIsDone) {
            answer.body().release();
            return;
        }
        mAnswer = answer;
        finish();
    }

    @Override
    public void abort() {
        if (!mIsDone) {
            finish();
        }
    }

    @Override
    public void onClientDisconnected(Runnable action) {
        if (mIsGone) {
            run(action);
            return;
        }
        Runnable earlier = mAction;
        mAction =
                earlier == null
                        ? action
                        : () -> {
                            earlier.run();
                            action.run();
                        };
    }

    @Override
    public boolean isClientDisconnected() {
        return mIsGone;
    }

    /** Tells whether the request was answered or aborted. */
    boolean isDone() {
        return mIsDone;
    }

    /** Tells whether nothing can follow the answer on its connection. */
    boolean isLast() {
        return mHead == null || !mHead.isKeepAlive();
    }

    boolean isHeadMethod() {
        return mHead != null && mHead.method().equals(HttpMethod.HEAD);
    }

    boolean isHttp10() {
        return mHead != null && mHead.isHttp10();
    }

    /** Returns the answer to write, or null if the request was aborted. */
    OutgoingAnswer takeAnswer() {
        OutgoingAnswer answer = mAnswer;
        mAnswer = null;
        mAction = null;
        return answer;
    }

    /** Notes that the connection ends with no answer written to this request. */
    void drop() {
        mIsGone = true;
        mIsDone = true;
        releaseCharge();
        if (mAnswer != null) {
            mAnswer.body().release();
            mAnswer = null;
        }
        Runnable action = mAction;
        mAction = null;
        if (action != null) {
            run(action);
        }
    }

    private static void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException failure) {
            sLogger.error("ENTRY  What a client's close calls for has failed.", failure);
        }
    }

    private void finish() {
        mIsDone = true;
        releaseCharge();
        mConnection.pump();
    }

    private void releaseCharge() {
        mConnection.server().budget().release(mCharge);
        mCharge = 0;
    }
}
