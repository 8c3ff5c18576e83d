package io.masticpond.entry.http;

import io.masticpond.core.body.RequestBytes;
import io.netty.handler.codec.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchange of one request of a connection and its answer.
 *
 * @since 0.2
 */
final class Exchange implements Responder {

    private static final Logger sLogger = LoggerFactory.getLogger(Exchange.class);

    private final ClientConnection mConnection;
    private final RequestHead mHead;
    private final RequestBytes mBytes;
    private OutgoingAnswer mAnswer;
    private boolean mIsDone;
    private boolean mIsClientDisconnected;
    private Runnable mDisconnectAction;

    /**
     * Creates an exchange.
     *
     * @param connection the connection
     * @param head the head of the request, or {@code null} if it was rejected before the head could
     *     be parsed
     * @param bytes the bytes of the request, released once it is done; {@code null} if none
     */
    Exchange(ClientConnection connection, RequestHead head, RequestBytes bytes) {
        mConnection = connection;
        mHead = head;
        mBytes = bytes;
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
        if (mIsClientDisconnected) {
            run(action);
            return;
        }
        Runnable earlier = mDisconnectAction;
        mDisconnectAction =
                earlier == null
                        ? action
                        : () -> {
                            earlier.run();
                            action.run();
                        };
    }

    @Override
    public boolean isClientDisconnected() {
        return mIsClientDisconnected;
    }

    /** Returns whether the request has been answered or aborted. */
    boolean isDone() {
        return mIsDone;
    }

    /** Returns whether the answer must be the last on its connection. */
    boolean isLast() {
        return mHead == null || !mHead.isKeepAlive();
    }

    boolean isHeadMethod() {
        return mHead != null && mHead.method().equals(HttpMethod.HEAD);
    }

    boolean isHttp10() {
        return mHead != null && mHead.isHttp10();
    }

    /** Returns the answer to write, or {@code null} if the request was aborted. */
    OutgoingAnswer takeAnswer() {
        OutgoingAnswer answer = mAnswer;
        mAnswer = null;
        mDisconnectAction = null;
        return answer;
    }

    /** Discards this exchange because its connection ends before an answer was written. */
    void discard() {
        mIsClientDisconnected = true;
        mIsDone = true;
        releaseBytes();
        if (mAnswer != null) {
            mAnswer.body().release();
            mAnswer = null;
        }
        Runnable action = mDisconnectAction;
        mDisconnectAction = null;
        if (action != null) {
            run(action);
        }
    }

    private static void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException failure) {
            sLogger.error("ENTRY  A disconnect handler of a client failed.", failure);
        }
    }

    private void finish() {
        mIsDone = true;
        releaseBytes();
        mConnection.processPending();
    }

    private void releaseBytes() {
        if (mBytes != null) {
            mBytes.release();
        }
    }
}
