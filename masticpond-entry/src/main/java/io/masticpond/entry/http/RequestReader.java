package io.masticpond.entry.http;

import static io.netty.handler.codec.http.HttpResponseStatus.BAD_REQUEST;
import static io.netty.handler.codec.http.HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
import static io.netty.handler.codec.http.HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
import static io.netty.handler.codec.http.HttpResponseStatus.SERVICE_UNAVAILABLE;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.ClientBytes;
import io.masticpond.core.body.RequestBytes;
import io.masticpond.core.body.RequestReservation;
import io.masticpond.core.routing.RequestLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vavr.control.Either;

/**
 * Reader that decodes the requests of one connection from its bytes one after the other, each with
 * its complete body.
 *
 * <p>The head and the stated length of the body are reserved before the body is read, and a chunked
 * body as it arrives. The caller of {@link #takeBytes} becomes responsible for releasing the bytes
 * of a complete request.
 *
 * @since 0.2
 */
final class RequestReader {

    /** Result of reading. */
    enum Progress {
        /** More bytes are needed. */
        MORE,
        /** Bytes that were received can't be read for lack of room in the budget. */
        BLOCKED,
        /** A request is complete. */
        COMPLETE,
        /** The request is rejected; nothing after it can be read. */
        FAILED
    }

    private enum Phase {
        HEAD,
        RESERVATION,
        LENGTH,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS
    }

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    /** A body up to this length is allocated at once; growth by doubling would exceed its bytes. */
    private static final int MAXIMUM_INITIAL_CAPACITY = 1024 * 1024;

    private static final int MAXIMUM_CHUNK_LINE_BYTES = 1024;
    private static final int HEXADECIMAL_RADIX = 16;
    private static final int MAXIMUM_CHUNK_SIZE_DIGITS = 15;

    private final EntryConnections mConnections;
    private final ByteBufAllocator mAllocator;
    private final ClientBytes mClientBytes;

    private Phase mPhase = Phase.HEAD;
    private int mScannedBytes;
    private int mLineStart;
    private RequestHead mHead;
    private ByteBuf mBody;
    private long mBodyLength;
    private long mRemainingBytes;
    private RequestBytes mBytes;
    private int mHeadLength;
    private boolean mIsExhausted;
    private int mTrailerBytes;
    private boolean mIsContinueDue;
    private RequestLimits mLimits = RequestLimits.DEFAULT;
    private HttpResponseStatus mFailure;

    RequestReader(EntryConnections connections, ByteBufAllocator allocator) {
        mConnections = connections;
        mAllocator = allocator;
        mClientBytes = connections.budget().newClient();
    }

    /**
     * Continues to read; to be called again after {@link Progress#COMPLETE} for the next request.
     */
    Progress read(ByteBuf in) {
        Progress progress = null;
        while (progress == null) {
            progress =
                    switch (mPhase) {
                        case HEAD -> readHead(in);
                        case RESERVATION -> reserve(in);
                        case LENGTH -> readFixedBody(in);
                        case CHUNK_SIZE -> readChunkSize(in);
                        case CHUNK -> readChunk(in);
                        case CHUNK_END -> readChunkEnd(in);
                        case TRAILERS -> readTrailers(in);
                    };
        }
        if (progress == Progress.COMPLETE) {
            mPhase = Phase.HEAD;
        } else if (progress == Progress.FAILED) {
            close();
        }
        return progress;
    }

    /** Returns whether a head is awaited or being read. */
    boolean isInHead() {
        return mPhase == Phase.HEAD;
    }

    RequestHead head() {
        return mHead;
    }

    HttpResponseStatus failure() {
        return mFailure;
    }

    /**
     * Returns whether the client waits for {@code 100 Continue} to send the body; true at most once
     * per request.
     */
    boolean takeContinueExpectation() {
        boolean isDue = mIsContinueDue;
        mIsContinueDue = false;
        return isDue;
    }

    /** Returns the body of a complete request and transfers its ownership to the caller. */
    ByteBuf takeBody() {
        ByteBuf body = mBody == null ? Unpooled.EMPTY_BUFFER : mBody;
        mBody = null;
        return body;
    }

    /** Returns the bytes held for a complete request, which the caller must release. */
    RequestBytes takeBytes() {
        RequestBytes bytes = mBytes;
        mBytes = null;
        return bytes;
    }

    /**
     * Returns whether the budget was exhausted when reading was blocked last; if not, earlier
     * requests of the connection must end first.
     */
    boolean isExhausted() {
        return mIsExhausted;
    }

    /** Discards what has been read of an incomplete request. */
    void close() {
        takeBody().release();
        RequestBytes bytes = takeBytes();
        if (bytes != null) {
            bytes.release();
        }
    }

    private Progress readHead(ByteBuf in) {
        if (mScannedBytes == 0) {
            mLimits = mConnections.limits();
        }
        int begin = in.readerIndex();
        while (true) {
            int lineFeed = in.indexOf(begin + mScannedBytes, in.writerIndex(), LINE_FEED);
            mScannedBytes = (lineFeed < 0 ? in.writerIndex() : lineFeed + 1) - begin;
            if (mScannedBytes > mLimits.headerBytes()) {
                return fail(REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            if (lineFeed < 0) {
                return Progress.MORE;
            }
            if (lineFeed == begin || in.getByte(lineFeed - 1) != CARRIAGE_RETURN) {
                return fail(BAD_REQUEST);
            }
            if (mScannedBytes - mLineStart == 2) {
                return finishHead(in);
            }
            mLineStart = mScannedBytes;
        }
    }

    private Progress finishHead(ByteBuf in) {
        int length = mScannedBytes;
        mScannedBytes = 0;
        mLineStart = 0;
        if (length == 2) {
            in.skipBytes(length);
            return null;
        }
        byte[] bytes = mConnections.headBuffer(length);
        in.readBytes(bytes, 0, length);
        Either<HttpResponseStatus, RequestHead> head =
                mConnections.headParser().parse(bytes, length);
        if (head.isLeft()) {
            return fail(head.getLeft());
        }
        mHead = head.get();
        mBodyLength = 0;
        if (mHead.length() > mLimits.bodyBytes()) {
            return fail(REQUEST_ENTITY_TOO_LARGE);
        }
        mHeadLength = length;
        mBytes = mClientBytes.newRequest();
        mPhase = Phase.RESERVATION;
        return null;
    }

    /** Reserves the head and the stated length of the body before any of the body is read. */
    private Progress reserve(ByteBuf in) {
        if (!tryReserve(mHeadLength + mHead.length(), mHead.length())) {
            return mIsExhausted ? fail(SERVICE_UNAVAILABLE) : Progress.BLOCKED;
        }
        if (!mHead.hasBody()) {
            return Progress.COMPLETE;
        }
        mRemainingBytes = mHead.length();
        mIsContinueDue = mHead.isContinueExpected() && !in.isReadable();
        mPhase = mHead.isChunked() ? Phase.CHUNK_SIZE : Phase.LENGTH;
        return null;
    }

    private Progress readFixedBody(ByteBuf in) {
        Progress progress = readBody(in);
        return progress == null ? Progress.COMPLETE : progress;
    }

    /** Moves bytes to the body, and returns {@code null} once this part is complete. */
    private Progress readBody(ByteBuf in) {
        int bytes = (int) Math.min(mRemainingBytes, in.readableBytes());
        if (bytes > 0) {
            if (mHead.isChunked() && !tryReserve(bytes, bodyBytes() + bytes)) {
                return Progress.BLOCKED;
            }
            if (mBody == null) {
                mBody =
                        mAllocator.buffer(
                                (int) Math.min(mRemainingBytes, MAXIMUM_INITIAL_CAPACITY));
            }
            mBody.writeBytes(in, bytes);
            mRemainingBytes -= bytes;
        }
        return mRemainingBytes > 0 ? Progress.MORE : null;
    }

    private Progress readChunkSize(ByteBuf in) {
        int line = nextLineLength(in, MAXIMUM_CHUNK_LINE_BYTES);
        if (line <= 0) {
            return line == 0 ? Progress.MORE : fail(BAD_REQUEST);
        }
        long size = parseChunkSize(in, in.readerIndex(), in.readerIndex() + line - 2);
        if (size < 0) {
            return fail(BAD_REQUEST);
        }
        in.skipBytes(line);
        if (size == 0) {
            mTrailerBytes = 0;
            mPhase = Phase.TRAILERS;
            return null;
        }
        mBodyLength += size;
        if (mBodyLength > mLimits.bodyBytes()) {
            return fail(REQUEST_ENTITY_TOO_LARGE);
        }
        mRemainingBytes = size;
        mPhase = Phase.CHUNK;
        return null;
    }

    /** Parses the size of a chunk from its size line. Returns -1 if the line is malformed. */
    private static long parseChunkSize(ByteBuf in, int begin, int end) {
        long size = 0;
        int position = begin;
        while (position < end && Character.digit(in.getByte(position), HEXADECIMAL_RADIX) >= 0) {
            size =
                    size * HEXADECIMAL_RADIX
                            + Character.digit(in.getByte(position), HEXADECIMAL_RADIX);
            position++;
        }
        if (position == begin || position - begin > MAXIMUM_CHUNK_SIZE_DIGITS) {
            return -1;
        }
        int extension = position;
        while (position < end && (in.getByte(position) == ' ' || in.getByte(position) == '\t')) {
            position++;
        }
        boolean isValid = extension == end || (position < end && in.getByte(position) == ';');
        for (int i = position; i < end; i++) {
            isValid &= HeadSyntax.isValue(in.getByte(i));
        }
        return isValid ? size : -1;
    }

    private Progress readChunk(ByteBuf in) {
        Progress progress = readBody(in);
        if (progress == null) {
            mPhase = Phase.CHUNK_END;
        }
        return progress;
    }

    private Progress readChunkEnd(ByteBuf in) {
        if (in.isReadable() && in.getByte(in.readerIndex()) != CARRIAGE_RETURN) {
            return fail(BAD_REQUEST);
        }
        if (in.readableBytes() < 2) {
            return Progress.MORE;
        }
        if (in.getByte(in.readerIndex() + 1) != LINE_FEED) {
            return fail(BAD_REQUEST);
        }
        in.skipBytes(2);
        mPhase = Phase.CHUNK_SIZE;
        return null;
    }

    private Progress readTrailers(ByteBuf in) {
        int line = nextLineLength(in, mLimits.headerBytes() - mTrailerBytes);
        if (line <= 0) {
            return line == 0 ? Progress.MORE : fail(BAD_REQUEST);
        }
        int begin = in.readerIndex();
        if (line > 2 && !isTrailer(in, begin, begin + line - 2)) {
            return fail(BAD_REQUEST);
        }
        in.skipBytes(line);
        mTrailerBytes += line;
        return line == 2 ? Progress.COMPLETE : null;
    }

    private static boolean isTrailer(ByteBuf in, int begin, int end) {
        int position = begin;
        while (position < end && HeadSyntax.isToken(in.getByte(position))) {
            position++;
        }
        if (position == begin || position == end || in.getByte(position) != ':') {
            return false;
        }
        while (position < end && HeadSyntax.isValue(in.getByte(position))) {
            position++;
        }
        return position == end;
    }

    /**
     * Returns the length of the next line including its end, 0 if it is incomplete, or -1 if it is
     * malformed or too long.
     */
    private int nextLineLength(ByteBuf in, int limit) {
        int begin = in.readerIndex();
        int lineFeed = in.indexOf(begin + mScannedBytes, in.writerIndex(), LINE_FEED);
        int length = (lineFeed < 0 ? in.writerIndex() : lineFeed + 1) - begin;
        if (length > limit) {
            return -1;
        }
        if (lineFeed < 0) {
            mScannedBytes = length;
            return 0;
        }
        mScannedBytes = 0;
        return lineFeed == begin || in.getByte(lineFeed - 1) != CARRIAGE_RETURN ? -1 : length;
    }

    private long bodyBytes() {
        return mBody == null ? 0 : mBody.readableBytes();
    }

    private boolean tryReserve(long bytes, long bodyBytes) {
        boolean isSmall = bodyBytes <= BodyBudget.SMALL_BODY_BYTES;
        RequestReservation result = mBytes.tryReserve(bytes, isSmall);
        mIsExhausted = result == RequestReservation.EXHAUSTED;
        return result == RequestReservation.RESERVED;
    }

    private Progress fail(HttpResponseStatus status) {
        mFailure = status;
        return Progress.FAILED;
    }
}
