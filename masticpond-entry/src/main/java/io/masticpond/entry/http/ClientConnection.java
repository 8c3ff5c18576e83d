package io.masticpond.entry.http;

import static io.netty.handler.codec.http.HttpResponseStatus.REQUEST_TIMEOUT;
import static io.netty.handler.codec.http.HttpResponseStatus.SERVICE_UNAVAILABLE;

import io.masticpond.core.routing.RequestLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A client's connection: reads its requests, hands them on, and writes the answers in the order of
 * the requests. Traffic thread only.
 *
 * @since 0.2
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    private static final Logger sLogger = LoggerFactory.getLogger(ClientConnection.class);
    private static final int WAITING_INPUT_BYTES = 64 * 1024;
    private static final long NONE = Long.MIN_VALUE;

    private final EntryConnections mServer;
    private final ArrayDeque<Exchange> mWaiting = new ArrayDeque<>(4);

    private ChannelHandlerContext mContext;
    private RequestReader mReader;
    private ClientOutput mOutput;
    private ByteBuf mInput;
    private int mIndex;
    private long mBegin = NONE;
    private long mLastRead;
    private long mHeadBegin = NONE;
    private boolean mIsReading;
    private boolean mIsPumping;
    private boolean mIsContinueDue;
    private boolean mIsInputOver;

    ClientConnection(EntryConnections server) {
        mServer = server;
    }

    EntryConnections server() {
        return mServer;
    }

    int index() {
        return mIndex;
    }

    void setIndex(int index) {
        mIndex = index;
    }

    void close() {
        mContext.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mReader = new RequestReader(mServer, context.alloc());
        mOutput = new ClientOutput(mServer, context);
        mServer.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.remove(this);
        stopInput();
        dropWaiting();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        mIsReading = true;
        if (mIsInputOver) {
            in.release();
            mOutput.noteDiscarded();
            return;
        }
        mLastRead = mServer.now();
        if (mBegin == NONE) {
            mBegin = mLastRead;
        }
        mInput =
                mInput == null
                        ? in
                        : ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(
                                context.alloc(), mInput, in);
        pump();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mIsReading = false;
        mOutput.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            pump();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        sLogger.debug("ENTRY  A connection failed.", cause);
        context.close();
    }

    /** Writes the answers that are next and reads further requests, as far as both can go. */
    void pump() {
        if (mIsPumping) {
            return;
        }
        mIsPumping = true;
        try {
            do {
                writeAnswers();
            } while (readRequests());
        } finally {
            mIsPumping = false;
        }
        settleInput();
        if (!mIsReading) {
            mOutput.flush();
        }
    }

    /** Tells whether the next request must wait; one that has begun its body is read on. */
    private boolean isPaused() {
        return mReader.isInHead()
                && (mWaiting.size() >= mServer.options().pipelinedRequests()
                        || !mContext.channel().isWritable()
                        || (mServer.isDraining() && !mWaiting.isEmpty()));
    }

    /** Reads requests; tells whether there was one. */
    private boolean readRequests() {
        boolean isRead = false;
        while (!mIsInputOver && mInput != null && !isPaused()) {
            RequestReader.Progress progress = mReader.read(mInput);
            if (progress == RequestReader.Progress.MORE) {
                noteContinue();
                break;
            }
            isRead = true;
            if (progress == RequestReader.Progress.FAILED) {
                refuse(mReader.failure());
                break;
            }
            handle();
        }
        return isRead;
    }

    private void noteContinue() {
        if (!mReader.isInHead() && mReader.takeContinue()) {
            mIsContinueDue = true;
            writeContinue();
        }
    }

    private void handle() {
        RequestHead head = mReader.head();
        Exchange exchange = new Exchange(this, head, mReader.takeCharge());
        mIsContinueDue = false;
        mWaiting.add(exchange);
        mServer.requestOpened();
        IncomingRequest request =
                new IncomingRequest(
                        head.method(),
                        head.target(),
                        head.headers(),
                        mReader.takeBody(),
                        mBegin,
                        mLastRead);
        mBegin = mInput.isReadable() ? mLastRead : NONE;
        mHeadBegin = NONE;
        if (!head.isKeepAlive()) {
            stopInput();
        }
        try {
            mServer.handler().handle(request, exchange);
        } catch (RuntimeException failure) {
            sLogger.error("ENTRY  A request could not be handled.", failure);
            exchange.answer(empty(HttpResponseStatus.INTERNAL_SERVER_ERROR));
        }
    }

    /** Answers in place of the handler and reads nothing more from the connection. */
    private void refuse(HttpResponseStatus status) {
        stopInput();
        Exchange exchange = new Exchange(this, null, 0);
        mWaiting.add(exchange);
        mServer.requestOpened();
        OutgoingAnswer answer = empty(status);
        if (status == SERVICE_UNAVAILABLE) {
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, mServer.options().retryAfter());
        }
        exchange.answer(answer);
    }

    private static OutgoingAnswer empty(HttpResponseStatus status) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        return new OutgoingAnswer(status.code(), headers, Unpooled.EMPTY_BUFFER);
    }

    private void writeAnswers() {
        while (!mOutput.isEnding() && !mWaiting.isEmpty() && mWaiting.peek().isDone()) {
            Exchange exchange = mWaiting.poll();
            OutgoingAnswer answer = exchange.takeAnswer();
            boolean isLast =
                    answer == null
                            || exchange.isLast()
                            || (mServer.isDraining() && mWaiting.isEmpty());
            if (answer == null) {
                mServer.requestClosed();
            } else {
                mOutput.write(exchange, answer, isLast);
            }
            if (isLast) {
                end();
            }
        }
        writeContinue();
    }

    private void writeContinue() {
        if (mIsContinueDue && mWaiting.isEmpty() && !mOutput.isEnding()) {
            mIsContinueDue = false;
            mOutput.writeContinue();
        }
    }

    /** Begins the end of the connection: what has been written still goes out, nothing else. */
    private void end() {
        stopInput();
        dropWaiting();
        mOutput.end();
    }

    private void stopInput() {
        mIsInputOver = true;
        mIsContinueDue = false;
        mReader.close();
        if (mInput != null) {
            mInput.release();
            mInput = null;
        }
        mContext.channel().config().setAutoRead(true);
    }

    private void dropWaiting() {
        while (!mWaiting.isEmpty()) {
            mServer.requestClosed();
            mWaiting.poll().drop();
        }
    }

    private void settleInput() {
        if (mIsInputOver) {
            return;
        }
        if (mInput != null && !mInput.isReadable()) {
            mInput.release();
            mInput = null;
            mBegin = mReader.isInHead() ? NONE : mBegin;
        }
        boolean isPaused = isPaused();
        if (mInput == null || !mReader.isInHead() || isPaused) {
            mHeadBegin = NONE;
        } else if (mHeadBegin == NONE) {
            mHeadBegin = mServer.now();
            mServer.scheduleCheckWithin(mServer.limits().headerTimeout().toNanos());
        }
        boolean isFull = mInput != null && mInput.readableBytes() > WAITING_INPUT_BYTES;
        mContext.channel().config().setAutoRead(!isPaused || !isFull);
    }

    /**
     * Does what has come due.
     *
     * @param now the monotonic time
     * @return nanoseconds until something may be due next, if nothing else happens
     */
    long check(long now) {
        if (mOutput.isLingering()) {
            return mOutput.checkLinger(now);
        }
        if (mOutput.isWriting()) {
            return mOutput.checkWrites(now);
        }
        if (mIsInputOver) {
            return Long.MAX_VALUE;
        }
        RequestLimits limits = mServer.limits();
        if (mHeadBegin != NONE) {
            return refuseIfDue(limits.headerTimeout().toNanos() - (now - mHeadBegin));
        }
        long idle = limits.idleTimeout().toNanos();
        if (!mReader.isInHead()) {
            return mIsContinueDue ? Long.MAX_VALUE : refuseIfDue(idle - (now - mLastRead));
        }
        return mWaiting.isEmpty() ? checkRest(now, idle) : Long.MAX_VALUE;
    }

    private long checkRest(long now, long idle) {
        long left = idle - (now - mOutput.idleSinceNanos());
        if (mServer.isDraining()) {
            long pause = mServer.options().drainPause().toNanos();
            long begin = Math.max(mServer.drainBegin() - now, mOutput.idleSinceNanos() - now);
            left = pause + begin;
        }
        if (left <= 0) {
            end();
            return Long.MAX_VALUE;
        }
        return left;
    }

    private long refuseIfDue(long left) {
        if (left <= 0) {
            refuse(REQUEST_TIMEOUT);
            return Long.MAX_VALUE;
        }
        return left;
    }
}
