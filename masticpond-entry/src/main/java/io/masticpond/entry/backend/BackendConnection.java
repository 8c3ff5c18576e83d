package io.masticpond.entry.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Connection to a backend server, which carries at most one call at a time. */
final class BackendConnection extends ChannelInboundHandlerAdapter {

    private enum State {
        OPENING,
        IDLE,
        BUSY,
        /** The answer is complete, but the request has not been written completely yet. */
        FLUSHING,
        CLOSED
    }

    private final ServerPool mPool;
    private final Channel mChannel;
    private State mState = State.OPENING;
    private PendingCall mCall;
    private Consumer<ServerReachability> mReachabilityListener = reachability -> {};

    /** Null before the first call and while no call is in progress. */
    private BackendExchange mExchange;

    private String mLastRequestId = "";
    private long mIdleSinceNanos;
    private long mIdleSinceWallMillis;
    private long mIdleLimitNanos;
    private long mRoundTripNanos;
    private long mStartedNanos;
    private boolean mReusable = true;
    private boolean mIdleStated;
    private boolean mHadAnonymousRefusal;
    private Future<?> mFlushTimer;
    private boolean mWriteStarting;

    BackendConnection(ServerPool pool, Channel channel) {
        mPool = pool;
        mChannel = channel;
        mIdleLimitNanos = pool.unstatedIdleNanos();
        mStartedNanos = pool.nowNanos();
    }

    boolean isOpen() {
        return mState != State.OPENING && mState != State.CLOSED;
    }

    boolean isUnclaimed() {
        return mState == State.OPENING && mCall == null;
    }

    boolean hasLastServed(String requestId) {
        return mLastRequestId.equals(requestId);
    }

    /**
     * Returns whether a late second answer on this connection could be mistaken for a refusal of
     * any request.
     */
    boolean hadAnonymousRefusal() {
        return mHadAnonymousRefusal;
    }

    /** Returns whether this connection has been idle for too long to be reused. */
    boolean isExpired() {
        return idleNanos() >= mIdleLimitNanos;
    }

    /**
     * Returns how long this connection has been idle, in nanoseconds. The monotonic clock stops
     * while the machine is suspended, but servers close idle connections meanwhile. Therefore this
     * is the longer of the durations by the monotonic and the wall clock; a wall clock that is set
     * forward costs one new connection at most.
     */
    long idleNanos() {
        long byWallClock = TimeUnit.MILLISECONDS.toNanos(mPool.wallMillis() - mIdleSinceWallMillis);
        return Math.max(mPool.nowNanos() - mIdleSinceNanos, byWallClock);
    }

    /** Assigns a call to this connection, which sends it once it is open. */
    void claim(PendingCall call) {
        mCall = call;
        call.setConnection(this);
    }

    /** Sets the listener for the result of opening this connection. */
    void setReachabilityListener(Consumer<ServerReachability> listener) {
        mReachabilityListener = listener;
    }

    /** Handles a failure to open this connection. */
    void openFailed(Throwable cause) {
        mReachabilityListener.accept(ServerReachability.of(cause));
        if (cause instanceof ConnectTimeoutException) {
            mPool.openTimedOut();
        }
        fail(CallFailure.Kind.NOT_CONNECTED);
    }

    /** Handles the opening of this connection. */
    void opened() {
        mReachabilityListener.accept(ServerReachability.OPEN);
        if (mState == State.CLOSED) {
            return;
        }
        mRoundTripNanos = mPool.nowNanos() - mStartedNanos;
        mPool.recordRoundTrip(mRoundTripNanos);
        restartIdleTime();
        PendingCall call = mCall;
        if (call == null) {
            becomeIdle();
        } else if (!call.mayBegin()) {
            mCall = null;
            becomeIdle();
            call.fail(CallFailure.Kind.WITHDRAWN);
        } else if (!begin(call)) {
            call.fail(CallFailure.Kind.NOT_CONNECTED);
        }
    }

    /**
     * Sends a call's request.
     *
     * @return whether the request was sent; if not, no byte of it was written and the connection is
     *     closed
     */
    boolean begin(PendingCall call) {
        mState = State.BUSY;
        mCall = call;
        mStartedNanos = mPool.nowNanos();
        call.setConnection(this);
        mLastRequestId = call.request().requestId();
        AnswerAssembler answer =
                new AnswerAssembler(
                        mPool.options(),
                        call.request(),
                        mChannel.alloc(),
                        mPool.newReading(mChannel));
        mExchange =
                new BackendExchange(
                        call, answer, mPool.options().maximumAnswerBytes(), this::writeEnded);
        mWriteStarting = true;
        mExchange.start(mChannel);
        mWriteStarting = false;
        if (mExchange.isUnsent()) {
            abandon();
            return false;
        }
        return true;
    }

    /** Closes this connection after its call, or now if it has none. */
    void retire() {
        mReusable = false;
        if (mState == State.IDLE) {
            abandon();
        }
    }

    /**
     * Detaches the call: a connection that is still opening stays for other calls, any other is
     * closed.
     */
    void releaseCall() {
        if (mState == State.OPENING) {
            mCall = null;
        } else {
            abandon();
        }
    }

    /** Closes the connection without notifying its call. */
    void abandon() {
        mCall = null;
        if (mState == State.CLOSED) {
            return;
        }
        boolean wasIdle = mState == State.IDLE;
        mState = State.CLOSED;
        mPool.closed(this, wasIdle);
        if (mExchange != null) {
            mExchange.answer().release();
        }
        mChannel.close();
    }

    /** Closes the connection and fails its call, if any. */
    void fail(CallFailure.Kind kind) {
        PendingCall call = mCall;
        if (mState == State.BUSY && kind == CallFailure.Kind.BROKEN_OFF && !answer().hasBegun()) {
            mPool.brokenOffAfterIdle(
                    mStartedNanos - mIdleSinceNanos,
                    mPool.nowNanos() - mStartedNanos,
                    mRoundTripNanos);
        }
        if (mState == State.BUSY && answer().hasHead()) {
            mPool.answerIncomplete();
            mExchange.log(mPool.address());
        }
        abandon();
        if (call != null) {
            call.fail(kind);
        }
    }

    void bytesReceived(int bytes) {
        mPool.bytesReceived(bytes);
        if (mExchange != null) {
            mExchange.received().received(bytes);
        }
    }

    /** Returns whether the head of the current answer has been received. */
    boolean isReadingBody() {
        return mState == State.BUSY && answer().hasHead();
    }

    /** Returns whether the answer waits for room in the body budget and is not read. */
    boolean isReadingPaused() {
        return mState == State.BUSY && answer().isPaused();
    }

    boolean expectsBytes() {
        return mState == State.BUSY && !answer().isComplete();
    }

    boolean isAnswerWithoutBody(HttpResponse response) {
        return mState == State.BUSY && answer().isAnswerWithoutBody(response);
    }

    /** Handles bytes that belong to no request. */
    void unsolicitedBytesReceived() {
        retire();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (expectsBytes() && message instanceof HttpObject part) {
                boolean hadHead = answer().hasHead();
                mExchange.accept(part);
                if (!hadHead && answer().hasHead()) {
                    mCall.answerBegan(answer().status(), answer().headers());
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Called when all bytes of a read have been decoded. */
    void readDone() {
        boolean isOversized = mExchange != null && mExchange.received().isLimitExceeded();
        if (isOversized && (mState == State.BUSY || mState == State.FLUSHING)) {
            mPool.answerOversized(mExchange.received().count());
        }
        if (isOversized && mState == State.FLUSHING) {
            abandon();
        } else {
            settle();
        }
    }

    /**
     * Called when the input has ended; bytes read before are decoded after this call.
     *
     * @param end the end as the channel reports it
     */
    void inputEnding(InputEnd end) {
        mReusable = false;
        if (mExchange != null) {
            mExchange.endInput(end);
        }
    }

    /**
     * Called when all bytes read before the end of the input have been decoded.
     *
     * @param end the end as the channel reports it
     */
    void inputEnded(InputEnd end) {
        if (mState == State.BUSY) {
            mExchange.inputDecoded();
            settle();
        }
        if (mState == State.IDLE && end == InputEnd.ORDERLY && !mIdleStated) {
            mPool.closedWhenIdle(idleNanos());
        }
        boolean isIdleReset = mState == State.IDLE && end != InputEnd.ORDERLY;
        fail(CallFailure.Kind.BROKEN_OFF);
        if (isIdleReset) {
            mPool.resetWhenIdle();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            inputEnding(InputEnd.BROKEN);
            inputEnded(InputEnd.BROKEN);
        } else {
            fail(CallFailure.Kind.BAD_ANSWER);
        }
    }

    /** Ends the call if the outcome of its exchange is known. */
    private void settle() {
        if (mState != State.BUSY) {
            return;
        }
        switch (mExchange.outcome()) {
            case ANSWERED -> finish();
            case BAD_ANSWER -> fail(CallFailure.Kind.BAD_ANSWER);
            case BROKEN_OFF -> fail(CallFailure.Kind.BROKEN_OFF);
            default -> {}
        }
    }

    private AnswerAssembler answer() {
        return mExchange.answer();
    }

    private void finish() {
        PendingCall call = mCall;
        mCall = null;
        mReusable &= answer().canKeepConnection() && !answer().hasMismatchedAnswer();
        mHadAnonymousRefusal |= answer().isAnonymousRefusal();
        readIdleLimit();
        mExchange.log(mPool.address());
        BackendAnswer answer = answer().takeAnswer();
        mState = State.FLUSHING;
        if (mExchange.write().isFlushed() || mExchange.write().isFailed()) {
            completeExchange();
        } else {
            long remainingNanos = call.deadlineNanos() - mPool.nowNanos();
            mFlushTimer =
                    mChannel.eventLoop()
                            .schedule(this::abandon, remainingNanos, TimeUnit.NANOSECONDS);
        }
        call.answer(answer);
    }

    private void readIdleLimit() {
        long statedNanos = IdleTimes.statedTimeoutNanos(answer().headers());
        mIdleStated = statedNanos != IdleTimes.UNSTATED;
        mIdleLimitNanos =
                mIdleStated ? IdleTimes.withMargin(statedNanos) : mPool.unstatedIdleNanos();
        mReusable &= mIdleLimitNanos > 0;
    }

    private void writeEnded() {
        if (mWriteStarting || mState == State.CLOSED) {
            return;
        }
        if (mState == State.FLUSHING) {
            completeExchange();
        } else {
            settle();
        }
    }

    private void completeExchange() {
        if (mFlushTimer != null) {
            mFlushTimer.cancel(false);
            mFlushTimer = null;
        }
        if (mReusable && mExchange.write().isFlushed() && !mPool.isAboveMaximum()) {
            becomeIdle();
        } else {
            abandon();
        }
    }

    private void becomeIdle() {
        if (!mReusable) {
            abandon();
            return;
        }
        mState = State.IDLE;
        mExchange = null;
        restartIdleTime();
        mPool.addIdle(this);
    }

    private void restartIdleTime() {
        mIdleSinceNanos = mPool.nowNanos();
        mIdleSinceWallMillis = mPool.wallMillis();
    }
}
