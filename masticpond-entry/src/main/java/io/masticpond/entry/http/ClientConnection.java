package io.masticpond.entry.http;

import static io.netty.handler.codec.http.HttpResponseStatus.REQUEST_TIMEOUT;
import static io.netty.handler.codec.http.HttpResponseStatus.SERVICE_UNAVAILABLE;

import io.masticpond.core.routing.RequestLimits;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Channel handler for the connection of a client. Reads its requests, passes them to the handler,
 * and writes the answers in the order of the requests. Confined to the traffic thread.
 *
 * @since 0.2
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    private static final Logger sLogger = LoggerFactory.getLogger(ClientConnection.class);
    private static final int MAXIMUM_BUFFERED_INPUT_BYTES = 64 * 1024;
    private static final long UNSET = Long.MIN_VALUE;

    private final EntryConnections mConnections;
    private final ArrayDeque<Exchange> mPendingExchanges = new ArrayDeque<>(4);
    private final RoomWait mRoomWait;

    private ChannelHandlerContext mContext;
    private RequestReader mReader;
    private ClientOutput mOutput;
    private ByteBuf mInput;
    private int mIndex;
    private long mRequestBeginNanos = UNSET;
    private long mLastReadNanos;
    private long mHeadBeginNanos = UNSET;
    private boolean mIsReading;
    private boolean mHasRead;
    private boolean mIsProcessing;
    private boolean mIsContinueDue;
    private boolean mIsInputStopped;

    ClientConnection(EntryConnections connections) {
        mConnections = connections;
        mRoomWait = new RoomWait(connections, this::processPending);
    }

    EntryConnections connections() {
        return mConnections;
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
        mReader = new RequestReader(mConnections, context.alloc());
        mOutput = new ClientOutput(mConnections, context);
        mConnections.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mConnections.remove(this);
        stopInput();
        discardPending();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        mIsReading = true;
        mHasRead = true;
        if (mIsInputStopped) {
            in.release();
            mOutput.recordDiscardedBytes();
            return;
        }
        mLastReadNanos = mConnections.nowNanos();
        if (mRequestBeginNanos == UNSET) {
            mRequestBeginNanos = mLastReadNanos;
        }
        mInput =
                mInput == null
                        ? in
                        : ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(
                                context.alloc(), mInput, in);
        processPending();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mIsReading = false;
        mOutput.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            processPending();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        sLogger.debug("ENTRY  A connection failed.", cause);
        context.close();
    }

    /**
     * Writes the answers whose turn it is and reads further requests, until neither can make
     * progress.
     */
    void processPending() {
        if (mIsProcessing) {
            return;
        }
        mIsProcessing = true;
        try {
            do {
                writeAnswers();
            } while (readRequests());
        } finally {
            mIsProcessing = false;
        }
        updateInputState();
        if (!mIsReading) {
            mOutput.flush();
        }
    }

    /**
     * Returns whether the next request must wait; a request whose body has begun is always read on.
     */
    private boolean isPaused() {
        return mReader.isInHead()
                && (mPendingExchanges.size() >= mConnections.options().pipelinedRequests()
                        || !mContext.channel().isWritable()
                        || (mConnections.isDraining() && !mPendingExchanges.isEmpty()));
    }

    /** Reads requests, and returns whether there was at least one. */
    private boolean readRequests() {
        boolean isRead = false;
        mRoomWait.beginRead();
        while (!mIsInputStopped && mInput != null && !isPaused()) {
            RequestReader.Progress progress = mReader.read(mInput);
            if (progress == RequestReader.Progress.MORE) {
                mRoomWait.progressed();
                recordContinueExpectation();
                break;
            }
            if (progress == RequestReader.Progress.BLOCKED) {
                mRoomWait.block(mReader.isExhausted());
                break;
            }
            isRead = true;
            mRoomWait.progressed();
            if (progress == RequestReader.Progress.FAILED) {
                reject(mReader.failure());
                break;
            }
            handleRequest();
        }
        return isRead;
    }

    private void recordContinueExpectation() {
        if (!mReader.isInHead() && mReader.takeContinueExpectation()) {
            mIsContinueDue = true;
            writeContinue();
        }
    }

    private void handleRequest() {
        RequestHead head = mReader.head();
        Exchange exchange = new Exchange(this, head, mReader.takeBytes());
        mIsContinueDue = false;
        mPendingExchanges.add(exchange);
        mConnections.requestOpened();
        IncomingRequest request =
                new IncomingRequest(
                        head.method(),
                        head.target(),
                        head.headers(),
                        mReader.takeBody(),
                        mRequestBeginNanos,
                        mLastReadNanos);
        mRequestBeginNanos = mInput.isReadable() ? mLastReadNanos : UNSET;
        mHeadBeginNanos = UNSET;
        if (!head.isKeepAlive()) {
            stopInput();
        }
        try {
            mConnections.handler().handle(request, exchange);
        } catch (RuntimeException failure) {
            sLogger.error("ENTRY  A request could not be handled.", failure);
            exchange.answer(emptyAnswer(HttpResponseStatus.INTERNAL_SERVER_ERROR));
        }
    }

    /** Answers in place of the handler and stops reading from the connection. */
    private void reject(HttpResponseStatus status) {
        stopInput();
        Exchange exchange = new Exchange(this, null, null);
        mPendingExchanges.add(exchange);
        mConnections.requestOpened();
        OutgoingAnswer answer = emptyAnswer(status);
        if (status == SERVICE_UNAVAILABLE) {
            mConnections.budget().recordRefusal();
            answer.headers().set(HttpHeaderNames.RETRY_AFTER, mConnections.options().retryAfter());
        }
        exchange.answer(answer);
    }

    private static OutgoingAnswer emptyAnswer(HttpResponseStatus status) {
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        return new OutgoingAnswer(status.code(), headers, Unpooled.EMPTY_BUFFER);
    }

    private void writeAnswers() {
        while (!mOutput.isClosing()
                && !mPendingExchanges.isEmpty()
                && mPendingExchanges.peek().isDone()) {
            Exchange exchange = mPendingExchanges.poll();
            OutgoingAnswer answer = exchange.takeAnswer();
            boolean isLast =
                    answer == null
                            || exchange.isLast()
                            || (mConnections.isDraining() && mPendingExchanges.isEmpty());
            if (answer == null) {
                mConnections.requestClosed();
            } else {
                mOutput.write(exchange, answer, isLast);
            }
            if (isLast) {
                beginClose();
            }
        }
        writeContinue();
    }

    private void writeContinue() {
        if (mIsContinueDue && mPendingExchanges.isEmpty() && !mOutput.isClosing()) {
            mIsContinueDue = false;
            mOutput.writeContinue();
        }
    }

    /** Starts to close the connection: answers already written are still sent, but no others. */
    private void beginClose() {
        stopInput();
        discardPending();
        mOutput.beginClose();
    }

    private void stopInput() {
        mIsInputStopped = true;
        mIsContinueDue = false;
        mReader.close();
        if (mInput != null) {
            mInput.release();
            mInput = null;
        }
        mContext.channel().config().setAutoRead(true);
    }

    private void discardPending() {
        while (!mPendingExchanges.isEmpty()) {
            mConnections.requestClosed();
            mPendingExchanges.poll().discard();
        }
    }

    private void updateInputState() {
        if (mIsInputStopped) {
            return;
        }
        if (mInput != null && !mInput.isReadable() && !mRoomWait.isBlocked()) {
            mInput.release();
            mInput = null;
            mRequestBeginNanos = mReader.isInHead() ? UNSET : mRequestBeginNanos;
        }
        boolean isPaused = isPaused();
        if (mInput == null || !mReader.isInHead() || isPaused) {
            mHeadBeginNanos = UNSET;
        } else if (mHeadBeginNanos == UNSET) {
            mHeadBeginNanos = mConnections.nowNanos();
            mConnections.scheduleCheckWithin(mConnections.limits().headerTimeout().toNanos());
        }
        boolean isFull = mInput != null && mInput.readableBytes() > MAXIMUM_BUFFERED_INPUT_BYTES;
        mContext.channel().config().setAutoRead(!mRoomWait.isBlocked() && (!isPaused || !isFull));
    }

    /** Returns for how long the client has taken nothing of an answer, in nanoseconds. */
    long stallNanos(long nowNanos) {
        return mOutput.stallNanos(nowNanos);
    }

    /**
     * Enforces the timeouts that are due.
     *
     * @param nowNanos the current monotonic time
     * @return the nanoseconds until the next timeout may be due, if nothing else happens
     */
    long checkTimeouts(long nowNanos) {
        if (mOutput.isLingering()) {
            return mOutput.checkLinger(nowNanos);
        }
        if (mRoomWait.isTimed()) {
            return rejectIfDue(mRoomWait.remainingNanos(nowNanos), SERVICE_UNAVAILABLE);
        }
        if (mOutput.isWriting()) {
            return mOutput.checkWrites(nowNanos);
        }
        if (mIsInputStopped) {
            return Long.MAX_VALUE;
        }
        RequestLimits limits = mConnections.limits();
        if (mHeadBeginNanos != UNSET) {
            return rejectIfDue(
                    limits.headerTimeout().toNanos() - (nowNanos - mHeadBeginNanos),
                    REQUEST_TIMEOUT);
        }
        long idleNanos = limits.idleTimeout().toNanos();
        if (!mReader.isInHead()) {
            return mIsContinueDue || mRoomWait.isBlocked()
                    ? Long.MAX_VALUE
                    : rejectIfDue(idleNanos - (nowNanos - mLastReadNanos), REQUEST_TIMEOUT);
        }
        return mPendingExchanges.isEmpty() ? checkIdle(nowNanos) : Long.MAX_VALUE;
    }

    private long checkIdle(long nowNanos) {
        long maximumNanos = mConnections.maximumIdleNanos();
        long remainingNanos = maximumNanos - (nowNanos - mOutput.idleSinceNanos());
        if (remainingNanos > 0) {
            return remainingNanos;
        }
        if (readArrivedBytes()) {
            return maximumNanos;
        }
        beginClose();
        return Long.MAX_VALUE;
    }

    /**
     * Reads what has arrived since the last selection, and returns whether anything had. A timer
     * may run before the selection that would have found it.
     */
    private boolean readArrivedBytes() {
        mHasRead = false;
        if (mContext.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            unsafe.read();
        }
        return mHasRead;
    }

    private long rejectIfDue(long remainingNanos, HttpResponseStatus status) {
        if (remainingNanos <= 0) {
            reject(status);
            return Long.MAX_VALUE;
        }
        return remainingNanos;
    }
}
