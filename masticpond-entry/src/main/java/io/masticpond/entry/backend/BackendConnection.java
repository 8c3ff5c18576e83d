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

/** One connection to a backend server, with one call on it at most. */
final class BackendConnection extends ChannelInboundHandlerAdapter {

    private enum State {
        OPENING,
        IDLE,
        BUSY,
        /** The answer is there, but the server has not taken the whole request yet. */
        FLUSHING,
        CLOSED
    }

    private final ServerPool mPool;
    private final Channel mChannel;
    private State mState = State.OPENING;
    private PendingCall mCall;
    private Consumer<ServerReachability> mTried = reach -> {};
    private RequestWrite mWrite;
    private AnswerAssembler mAssembler;
    private String mLastRequestId = "";
    private long mIdleSinceNanos;
    private long mIdleSinceWallMillis;
    private long mIdleLimitNanos;
    private long mRoundTripNanos;
    private long mBegunNanos;
    private boolean mReusable = true;
    private boolean mIdleStated;
    private Future<?> mFlushTimer;
    private boolean mStarting;
    private boolean mEnding;
    private boolean mOrderly;

    BackendConnection(ServerPool pool, Channel channel) {
        mPool = pool;
        mChannel = channel;
        mIdleLimitNanos = pool.unstatedIdleNanos();
        mBegunNanos = pool.nowNanos();
    }

    boolean isUnclaimed() {
        return mState == State.OPENING && mCall == null;
    }

    boolean lastServed(String requestId) {
        return mLastRequestId.equals(requestId);
    }

    /** Tells whether this idle connection must not be used any more. */
    boolean isExpired() {
        return idleNanos() >= mIdleLimitNanos;
    }

    /**
     * Gives for how long this connection has been idle. The steady clock stands still while the
     * machine is suspended, and servers close idle connections meanwhile; so the longer of the
     * times by both clocks counts, and one that is set forward costs a new connection at most.
     */
    long idleNanos() {
        long byTimeOfDay = TimeUnit.MILLISECONDS.toNanos(mPool.wallMillis() - mIdleSinceWallMillis);
        return Math.max(mPool.nowNanos() - mIdleSinceNanos, byTimeOfDay);
    }

    /** Has a call wait until this connection is open. */
    void claim(PendingCall call) {
        mCall = call;
        call.use(this);
    }

    /** Has a listener hear whether this connection opens. */
    void whenTried(Consumer<ServerReachability> listener) {
        mTried = listener;
    }

    /** Hears that this connection cannot be opened. */
    void notOpened(Throwable cause) {
        mTried.accept(ServerReachability.of(cause));
        if (cause instanceof ConnectTimeoutException) {
            mPool.notOpened();
        }
        fail(CallFailure.Kind.NOT_CONNECTED);
    }

    /** Hears that the connection is open. */
    void opened() {
        mTried.accept(ServerReachability.OPEN);
        if (mState == State.CLOSED) {
            return;
        }
        mRoundTripNanos = mPool.nowNanos() - mBegunNanos;
        idleFromNow();
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
     * @return whether it went out; if not, no byte did and the connection is closed
     */
    boolean begin(PendingCall call) {
        mState = State.BUSY;
        mCall = call;
        mBegunNanos = mPool.nowNanos();
        call.use(this);
        mLastRequestId = call.request().requestId();
        mAssembler = new AnswerAssembler(mPool.options(), call.request(), mChannel.alloc());
        mWrite = new RequestWrite(call, this::writeEnded);
        mStarting = true;
        mWrite.start(mChannel);
        mStarting = false;
        if (mWrite.isFailed() && !call.isWritten()) {
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

    /** Lets go of the call: an opening connection stays for others, a used one is closed. */
    void drop() {
        if (mState == State.OPENING) {
            mCall = null;
        } else {
            abandon();
        }
    }

    /** Closes the connection without a word to its call. */
    void abandon() {
        mCall = null;
        if (mState == State.CLOSED) {
            return;
        }
        boolean wasIdle = mState == State.IDLE;
        mState = State.CLOSED;
        mPool.closed(this, wasIdle);
        if (mAssembler != null) {
            mAssembler.release();
        }
        mChannel.close();
    }

    /** Closes the connection; its call, if any, fails. */
    void fail(CallFailure.Kind kind) {
        PendingCall call = mCall;
        if (mState == State.BUSY && kind == CallFailure.Kind.BROKEN_OFF && !mAssembler.hasBegun()) {
            mPool.brokenOffAfterIdle(
                    mBegunNanos - mIdleSinceNanos, mPool.nowNanos() - mBegunNanos, mRoundTripNanos);
        }
        abandon();
        if (call != null) {
            call.fail(kind);
        }
    }

    void bytesReceived() {
        mPool.bytesReceived();
    }

    boolean expectsBytes() {
        return mState == State.BUSY && !mAssembler.isWhole();
    }

    boolean answersWithoutBody(HttpResponse response) {
        return mState == State.BUSY && mAssembler.answersWithoutBody(response);
    }

    /** Hears of bytes that belong to no request. */
    void unsolicitedBytesReceived() {
        retire();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (expectsBytes() && message instanceof HttpObject part) {
                boolean hadHead = mAssembler.hasHead();
                mAssembler.accept(part, mEnding, mOrderly);
                if (!hadHead && mAssembler.hasHead()) {
                    mCall.answerBegan(mAssembler.status(), mAssembler.headers());
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Hears that all bytes of a read were decoded. */
    void readDone() {
        if (mState != State.BUSY) {
            return;
        }
        if (mAssembler.isWhole()) {
            finish();
        } else if (mAssembler.isBad()) {
            fail(CallFailure.Kind.BAD_ANSWER);
        }
    }

    /** Hears that the server sends no more; what was read before is decoded after this. */
    void inputEnding(boolean isOrderly) {
        mReusable = false;
        mEnding = true;
        mOrderly = isOrderly;
    }

    /** Hears that all that was read before the end was decoded. */
    void inputEnded() {
        if (mState == State.BUSY && mAssembler.isWhole()) {
            finish();
        }
        if (mState == State.IDLE && mOrderly && !mIdleStated) {
            mPool.closedWhenIdle(idleNanos());
        }
        boolean isForeign = mState == State.BUSY && mAssembler.hasMismatchedAnswer();
        fail(isForeign ? CallFailure.Kind.BAD_ANSWER : CallFailure.Kind.BROKEN_OFF);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(
                cause instanceof IOException
                        ? CallFailure.Kind.BROKEN_OFF
                        : CallFailure.Kind.BAD_ANSWER);
    }

    private void finish() {
        PendingCall call = mCall;
        mCall = null;
        mReusable &= mAssembler.keepsConnection() && !mAssembler.hasMismatchedAnswer();
        readIdleLimit();
        BackendAnswer answer = mAssembler.take();
        mState = State.FLUSHING;
        if (mWrite.isFlushed() || mWrite.isFailed()) {
            settle();
        } else {
            long leftNanos = call.deadlineNanos() - mPool.nowNanos();
            mFlushTimer =
                    mChannel.eventLoop().schedule(this::abandon, leftNanos, TimeUnit.NANOSECONDS);
        }
        call.answer(answer);
    }

    private void readIdleLimit() {
        long statedNanos = IdleTimes.stated(mAssembler.headers());
        mIdleStated = statedNanos != IdleTimes.UNSTATED;
        mIdleLimitNanos =
                mIdleStated ? IdleTimes.withMargin(statedNanos) : mPool.unstatedIdleNanos();
        mReusable &= mIdleLimitNanos > 0;
    }

    private void writeEnded() {
        if (mStarting || mState == State.CLOSED) {
            return;
        }
        if (mState == State.FLUSHING) {
            settle();
        } else if (mWrite.isFailed() && !mCall.isWritten()) {
            fail(CallFailure.Kind.BROKEN_OFF);
        }
    }

    private void settle() {
        if (mFlushTimer != null) {
            mFlushTimer.cancel(false);
            mFlushTimer = null;
        }
        if (mReusable && mWrite.isFlushed() && !mPool.isOverfull()) {
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
        mAssembler = null;
        mWrite = null;
        idleFromNow();
        mPool.idle(this);
    }

    private void idleFromNow() {
        mIdleSinceNanos = mPool.nowNanos();
        mIdleSinceWallMillis = mPool.wallMillis();
    }
}
