package io.masticpond.entry.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Assembler of the answer to one request from decoded parts; skips the parts of other answers. */
final class AnswerAssembler {

    private enum State {
        AWAITING,
        SKIPPING,
        COLLECTING,
        COMPLETE,
        BAD
    }

    private static final int MAXIMUM_STATUS = 599;

    private final ConnectionOptions mOptions;
    private final AnswerMatch mMatch;
    private final ByteBufAllocator mAllocator;
    private final ResponseReading mReading;
    private State mState = State.AWAITING;
    private AnswerFraming mFraming = AnswerFraming.WITHOUT_BODY;
    private HttpResponse mHead;

    /** Null before the first byte, and once the answer was taken. */
    private HeldBody mBody;

    private long mStatedLength;
    private boolean mSawMismatch;
    private boolean mIsTaken;

    AnswerAssembler(
            ConnectionOptions options,
            BackendRequest request,
            ByteBufAllocator allocator,
            ResponseReading reading) {
        mOptions = options;
        mMatch = new AnswerMatch(options, request);
        mAllocator = allocator;
        mReading = reading;
    }

    boolean isComplete() {
        return mState == State.COMPLETE;
    }

    boolean isBad() {
        return mState == State.BAD;
    }

    /** Returns whether a part of any answer has been received. */
    boolean hasBegun() {
        return mState != State.AWAITING || mSawMismatch;
    }

    /** Returns whether the head of the answer to this request has been received. */
    boolean hasHead() {
        return mHead != null;
    }

    /** Returns whether an answer to another request was skipped. */
    boolean hasMismatchedAnswer() {
        return mSawMismatch;
    }

    /** Returns whether the answer is a refusal that names no request. */
    boolean isAnonymousRefusal() {
        return mMatch.isAnonymousRefusal(mHead);
    }

    /** Returns whether the server keeps the connection open after this answer. */
    boolean canKeepConnection() {
        return mFraming != AnswerFraming.UNTIL_END && HttpUtil.isKeepAlive(mHead);
    }

    AnswerFraming framing() {
        return mFraming;
    }

    /** Returns the bytes of the body that were received, 0 once the answer was taken. */
    long bodyBytes() {
        return mBody == null ? 0 : mBody.appendedBytes();
    }

    int status() {
        return mHead.status().code();
    }

    HttpHeaders headers() {
        return mHead.headers();
    }

    /** Returns whether an answer has no body because of the request's method. */
    boolean isAnswerWithoutBody(HttpResponse response) {
        return mMatch.isForHead() && mMatch.match(response) == AnswerMatch.Result.OURS;
    }

    /**
     * Processes a decoded part of an answer.
     *
     * @param part the part; the caller releases it
     * @param end how the input ended, if it has ended
     */
    void accept(HttpObject part, InputEnd end) {
        if (part.decoderResult().isFailure()) {
            mState = State.BAD;
        }
        if (part instanceof HttpResponse head && mState == State.AWAITING) {
            begin(head);
        }
        if (part instanceof HttpContent content) {
            if (mState == State.COLLECTING) {
                collect(content.content());
            }
            if (part instanceof LastHttpContent) {
                finish(end);
            }
        }
    }

    /** Returns the complete answer and transfers the ownership of its body to the caller. */
    BackendAnswer takeAnswer() {
        ConnectionHeaders.remove(mHead.headers());
        mReading.complete();
        mIsTaken = true;
        ByteBuf body = mBody;
        if (mBody == null) {
            mReading.release();
            body = Unpooled.EMPTY_BUFFER;
        } else {
            mBody.addCopies();
        }
        mBody = null;
        return new BackendAnswer(mHead.status().code(), mHead.headers(), body);
    }

    /** Releases the body collected so far, unless the answer was taken. */
    void release() {
        if (mIsTaken) {
            return;
        }
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        mReading.release();
    }

    /** Returns whether the answer waits for room in the body budget and is not read. */
    boolean isPaused() {
        return mReading.isPaused();
    }

    private void begin(HttpResponse head) {
        int code = head.status().code();
        if (!isKnownVersion(head)
                || code > MAXIMUM_STATUS
                || code == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            mState = State.BAD;
            return;
        }
        if (code < HttpResponseStatus.OK.code()) {
            mState = code < HttpResponseStatus.CONTINUE.code() ? State.BAD : State.SKIPPING;
            return;
        }
        switch (mMatch.match(head)) {
            case OURS -> beginMatching(head);
            case FOREIGN -> {
                mSawMismatch = true;
                mState = State.SKIPPING;
            }
            default -> mState = State.BAD;
        }
    }

    private void beginMatching(HttpResponse head) {
        mHead = head;
        mState = State.COLLECTING;
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (mMatch.isForHead() || isBodiless(head.status())) {
            mFraming = AnswerFraming.WITHOUT_BODY;
        } else if (!encodings.isEmpty()) {
            mFraming = AnswerFraming.CHUNKS;
            if (encodings.size() > 1
                    || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0))) {
                mState = State.BAD;
            }
        } else if (head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            mFraming = AnswerFraming.LENGTH;
            mStatedLength = HttpUtil.getContentLength(head, -1L);
            if (mStatedLength < 0 || mStatedLength > mOptions.maximumAnswerBytes()) {
                mState = State.BAD;
            }
        } else {
            mFraming = AnswerFraming.UNTIL_END;
        }
        if (mState == State.COLLECTING) {
            mReading.begin(mFraming.expectedBytes(mStatedLength));
        }
    }

    private void collect(ByteBuf content) {
        if (!content.isReadable()) {
            return;
        }
        if (bodyBytes() + content.readableBytes() > mOptions.maximumAnswerBytes()) {
            mState = State.BAD;
            return;
        }
        if (mBody == null) {
            mBody = new HeldBody(mAllocator, mReading.bytes());
        }
        mBody.append(content);
        mReading.received(content.readableBytes());
    }

    private void finish(InputEnd end) {
        if (mState == State.SKIPPING) {
            mState = State.AWAITING;
        }
        if (mState != State.COLLECTING) {
            return;
        }
        if (mFraming.isComplete(bodyBytes(), mStatedLength, end)) {
            mState = State.COMPLETE;
        }
    }

    private static boolean isKnownVersion(HttpResponse head) {
        return head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                || head.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    private static boolean isBodiless(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
