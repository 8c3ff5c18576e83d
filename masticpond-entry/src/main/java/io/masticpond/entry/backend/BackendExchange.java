package io.masticpond.entry.backend;

import io.masticpond.core.fleet.ServerAddress;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;

/**
 * Exchange of one request and its answer on a connection. Its outcome follows from the parts of the
 * answer, the end of the input and the state of the write, in {@link #outcome} alone.
 */
final class BackendExchange {

    /** Outcome of an exchange. */
    enum Outcome {
        /** The answer is not complete and may become so. */
        OPEN,
        /** The answer is complete. */
        ANSWERED,
        /** The server sent something else than an answer to the request. */
        BAD_ANSWER,
        /** The connection ended before the answer was complete. */
        BROKEN_OFF
    }

    private final PendingCall mCall;
    private final AnswerAssembler mAnswer;
    private final RequestWrite mWrite;
    private final ReceivedBytes mReceived;
    private InputEnd mInputEnd = InputEnd.NONE;
    private boolean mIsInputDecoded;

    /**
     * Creates an exchange of which nothing was written or received.
     *
     * @param call the call
     * @param answer the assembler of its answer
     * @param maximumAnswerBytes the limit of the body of the answer
     * @param writeEndHandler runs when the request was written or could not be
     */
    BackendExchange(
            PendingCall call,
            AnswerAssembler answer,
            long maximumAnswerBytes,
            Runnable writeEndHandler) {
        mCall = call;
        mAnswer = answer;
        mReceived = new ReceivedBytes(maximumAnswerBytes);
        mWrite = new RequestWrite(call, writeEndHandler);
    }

    void start(Channel channel) {
        mWrite.start(channel);
    }

    AnswerAssembler answer() {
        return mAnswer;
    }

    RequestWrite write() {
        return mWrite;
    }

    /** Returns the count of all bytes that the server sent. */
    ReceivedBytes received() {
        return mReceived;
    }

    /** Processes a decoded part of an answer, which the caller releases. */
    void accept(HttpObject part) {
        if (part instanceof HttpContent content && content.content().isReadable()) {
            mReceived.bodyDecoded(content.content().readableBytes());
        }
        mAnswer.accept(part, mInputEnd);
    }

    /** Records an end of the input; bytes read before it may still have to be decoded. */
    void endInput(InputEnd end) {
        mInputEnd = end == InputEnd.ORDERLY ? mWrite.endOfStream() : end;
    }

    /** Records that all bytes read before the end of the input have been decoded. */
    void inputDecoded() {
        mIsInputDecoded = true;
    }

    /** Returns whether no byte of the request was written and none can be. */
    boolean isUnsent() {
        return mWrite.isFailed() && !mCall.isWritten();
    }

    Outcome outcome() {
        if (mAnswer.isComplete()) {
            return Outcome.ANSWERED;
        }
        if (mIsInputDecoded) {
            return mAnswer.hasMismatchedAnswer() ? Outcome.BAD_ANSWER : Outcome.BROKEN_OFF;
        }
        if (mAnswer.isBad() || mReceived.isLimitExceeded()) {
            return Outcome.BAD_ANSWER;
        }
        return isUnsent() ? Outcome.BROKEN_OFF : Outcome.OPEN;
    }

    void log(ServerAddress server) {
        ExchangeLog.ended(server, mCall.request().requestId(), mAnswer, mInputEnd, mWrite);
    }
}
