package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.time.TimeSource;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Hello;
import io.masticpond.protocol.generated.LinkError;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One authenticated TCP connection on one lane; all methods run on the thread of the links.
 *
 * <p>Both sides send requests on it: the dialer numbers its calls odd, the acceptor even, so that a
 * call id tells an answer from a request.
 */
final class Connection extends SimpleChannelInboundHandler<Envelope> {

    /** The largest frame before the other side is authenticated. */
    static final int HANDSHAKE_FRAME_BYTES = 4_096;

    private static final int CALL_ID_STEP = 2;
    private static final int PINGS_IN_SILENCE = 3;
    private static final Envelope PING = Envelope.getDefaultInstance();

    private final Handshake mHandshake;
    private final LinkSettings mSettings;
    private final TimeSource mTimeSource;
    private final LinkCounters mCounters;
    private final ConnectionOwner mOwner;
    private final boolean mDialer;
    private final Optional<InstanceId> mExpected;
    private final Map<Long, OutboundCall> mCalls = new HashMap<>();
    private Lane mLane;
    private Channel mChannel;
    private Hello mDialerHello;
    private Hello mAcceptorHello;
    private Incarnation mPeer;
    private boolean mReady;
    private long mLastCallId;
    private long mLastPeerCallId;
    private int mUnanswered;
    private long mAnswerBytes;
    private long mLastReadNanos;
    private long mLastWriteNanos;
    private long mBusySinceNanos;
    private String mCloseReason = "The connection was closed by the peer.";

    /**
     * Makes one side of a connection.
     *
     * @param dialer whether it is the side that dials
     * @param expected the only instance that may answer, or empty if any may
     * @param lane the lane; the accepting side takes that of the dialer
     */
    Connection(
            Handshake handshake,
            LinkSettings settings,
            TimeSource timeSource,
            LinkCounters counters,
            ConnectionOwner owner,
            boolean dialer,
            Optional<InstanceId> expected,
            Lane lane) {
        mHandshake = handshake;
        mSettings = settings;
        mTimeSource = timeSource;
        mCounters = counters;
        mOwner = owner;
        mDialer = dialer;
        mExpected = expected;
        mLane = lane;
        mLastCallId = isDialer() ? -1 : 0;
        mLastReadNanos = timeSource.monotonicNanos();
        mLastWriteNanos = mLastReadNanos;
    }

    /** Gives the instance that was dialed, if one was expected. */
    Optional<InstanceId> expected() {
        return mExpected;
    }

    boolean isDialer() {
        return mDialer;
    }

    boolean isReady() {
        return mReady;
    }

    /** Gives the authenticated peer; only once the connection is ready. */
    Incarnation peer() {
        return mPeer;
    }

    Lane lane() {
        return mLane;
    }

    boolean isWritable() {
        return mChannel.isWritable();
    }

    /** Writes a message, and counts it as a call if it is one; {@link #flush} sends it. */
    void write(OutboundMessage message, Runnable onDone) {
        Envelope envelope = message.envelope();
        if (message instanceof OutboundCall call) {
            mLastCallId += CALL_ID_STEP;
            long id = mLastCallId;
            noteBusy();
            mCalls.put(id, call);
            call.handedOver(() -> mCalls.remove(id));
            envelope = envelope.toBuilder().setCallId(id).build();
        }
        ChannelProgressivePromise promise = mChannel.newProgressivePromise();
        promise.addListener(new WriteListener(message, onDone));
        write(envelope, promise);
    }

    void flush() {
        mChannel.flush();
    }

    /** Answers a request; closes the connection if the peer leaves its answers unread. */
    void answer(long callId, Envelope answer) {
        mUnanswered--;
        if (!mChannel.isActive()) {
            mCounters.mAnswersDropped.increment();
            return;
        }
        int bytes = answer.getSerializedSize();
        mAnswerBytes += bytes;
        if (mAnswerBytes > mSettings.maximumQueuedBytes()) {
            mCounters.mAnswersDropped.increment();
            close("The peer leaves its answers unread.");
            return;
        }
        ChannelProgressivePromise promise = mChannel.newProgressivePromise();
        promise.addListener(future -> mAnswerBytes -= bytes);
        write(answer.toBuilder().setCallId(callId).build(), promise);
        mChannel.flush();
    }

    /** Sends a ping when nothing was sent for long, and closes a connection that is silent. */
    void sweep() {
        if (!mReady) {
            return;
        }
        long now = mTimeSource.monotonicNanos();
        boolean busy = isBusy();
        long limit =
                (busy ? mSettings.busyInactivityTimeout() : mSettings.idleInactivityTimeout())
                        .toNanos();
        long sinceRead = now - mLastReadNanos;
        long silent = busy ? Math.min(sinceRead, now - mBusySinceNanos) : sinceRead;
        if (silent > limit) {
            close("The peer was silent for too long.");
        } else if (now - mLastWriteNanos > limit / PINGS_IN_SILENCE && mChannel.isWritable()) {
            write(PING, mChannel.newProgressivePromise());
            mChannel.flush();
        }
    }

    /** Closes the connection. */
    void close(String reason) {
        mCloseReason = reason;
        Future<?> unused = mChannel.close();
    }

    /** Closes the connection if it is not ready by now. */
    void handshakeTimedOut() {
        if (!mReady) {
            close("The handshake took too long.");
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (isDialer()) {
            mDialerHello = mHandshake.dial(mLane);
            send(mDialerHello);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (mReady) {
            dispatch(envelope);
        } else if (envelope.hasLinkError()) {
            refuseHandshake(envelope.getLinkError().getReason(), false);
        } else if (envelope.hasHello()) {
            shakeHands(envelope.getHello());
        } else {
            refuseHandshake("A message came before the handshake had ended.", true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (mReady && mChannel.isWritable()) {
            mOwner.writable(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        List<OutboundCall> calls = new ArrayList<>(mCalls.values());
        mCalls.clear();
        for (OutboundCall call : calls) {
            call.lost(mCloseReason);
        }
        mOwner.closed(this, mCloseReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            breakProtocol("A frame cannot be read: " + cause.getMessage());
        } else {
            close("The connection failed: " + cause.getMessage());
        }
    }

    /** Takes the count of bytes that came in, also of frames that are not whole yet. */
    void bytesRead(int bytes) {
        mLastReadNanos = mTimeSource.monotonicNanos();
        mCounters.read(mLane, bytes);
    }

    private boolean isBusy() {
        return !mCalls.isEmpty() || mUnanswered > 0;
    }

    private void noteBusy() {
        if (!isBusy()) {
            mBusySinceNanos = mTimeSource.monotonicNanos();
        }
    }

    private void write(Envelope envelope, ChannelProgressivePromise promise) {
        mLastWriteNanos = mTimeSource.monotonicNanos();
        mCounters.written(mLane, envelope.getSerializedSize() + EnvelopeDecoder.LENGTH_BYTES);
        Future<?> unused = mChannel.write(envelope, promise);
    }

    private void send(Hello hello) {
        write(Envelope.newBuilder().setHello(hello).build(), mChannel.newProgressivePromise());
        mChannel.flush();
    }

    private void shakeHands(Hello hello) {
        if (isDialer()) {
            finish(
                    hello,
                    mHandshake
                            .confirm(mDialerHello, hello, mExpected)
                            .peek(this::send)
                            .map(sent -> hello));
        } else if (mAcceptorHello == null) {
            mDialerHello = hello;
            mLane = Lane.of(hello.getLane());
            mHandshake
                    .accept(hello)
                    .peek(answer -> mAcceptorHello = answer)
                    .peek(this::send)
                    .peekLeft(reason -> refuseHandshake(reason, true));
        } else {
            Optional<String> fault = mHandshake.verify(mDialerHello, mAcceptorHello, hello);
            finish(
                    hello,
                    fault.<Either<String, Hello>>map(Either::left).orElse(Either.right(hello)));
        }
    }

    private void finish(Hello hello, Either<String, Hello> outcome) {
        if (outcome.isLeft()) {
            refuseHandshake(outcome.getLeft(), true);
            return;
        }
        Incarnation peer =
                new Incarnation(new InstanceId(hello.getInstance()), hello.getIncarnation());
        Optional<String> objection = mOwner.rejectionReason(peer);
        if (objection.isPresent()) {
            refuseHandshake(objection.get(), true);
            return;
        }
        mPeer = peer;
        mReady = true;
        mChannel.pipeline()
                .replace(
                        EnvelopeDecoder.class,
                        null,
                        new EnvelopeDecoder(mSettings.maximumFrameBytes(), this::bytesRead));
        mOwner.ready(this);
    }

    private void refuseHandshake(String reason, boolean tellPeer) {
        mCounters.mHandshakesRefused.increment();
        mCloseReason = reason;
        if (tellPeer) {
            Envelope error =
                    Envelope.newBuilder()
                            .setLinkError(LinkError.newBuilder().setReason(reason))
                            .build();
            Future<?> unused =
                    mChannel.writeAndFlush(error).addListener(ChannelFutureListener.CLOSE);
        } else {
            Future<?> unused = mChannel.close();
        }
    }

    private void breakProtocol(String reason) {
        mCounters.mProtocolErrors.increment();
        close(reason);
    }

    private void dispatch(Envelope envelope) {
        long id = envelope.getCallId();
        if (envelope.hasHello()) {
            breakProtocol("A Hello came after the handshake.");
        } else if (id == 0) {
            dispatchMessage(envelope);
        } else if ((id & 1) == (mLastCallId & 1)) {
            dispatchAnswer(id, envelope);
        } else {
            dispatchRequest(id, envelope);
        }
    }

    private void dispatchMessage(Envelope envelope) {
        if (envelope.hasLinkError()) {
            close(envelope.getLinkError().getReason());
        } else if (envelope.getBodyCase() != Envelope.BodyCase.BODY_NOT_SET) {
            mOwner.received(this, envelope);
        }
    }

    private void dispatchAnswer(long id, Envelope envelope) {
        OutboundCall call = mCalls.remove(id);
        if (call == null && Long.compareUnsigned(id, Math.max(0, mLastCallId)) > 0) {
            breakProtocol("An answer came to a call that was never made.");
        } else if (call == null) {
            mCounters.mAnswersNotAwaited.increment();
        } else if (envelope.hasLinkError()) {
            call.refused(envelope.getLinkError().getReason());
        } else {
            call.answered(envelope);
        }
    }

    private void dispatchRequest(long id, Envelope envelope) {
        if (Long.compareUnsigned(id, mLastPeerCallId) <= 0) {
            breakProtocol("A call id came twice.");
            return;
        }
        noteBusy();
        mLastPeerCallId = id;
        mUnanswered++;
        mOwner.received(this, envelope);
    }

    /** Tells whether the peer has as many unanswered requests here as it may. */
    boolean isFull() {
        return mUnanswered > mSettings.maximumCalls();
    }
}
