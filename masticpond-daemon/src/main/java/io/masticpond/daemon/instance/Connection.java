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
 * Channel handler for one authenticated TCP connection on one lane. All methods run on the event
 * loop of the links.
 *
 * <p>Both sides send requests over the connection. The dialer uses odd call ids and the acceptor
 * even ones, so that a call id distinguishes an answer from a request.
 */
final class Connection extends SimpleChannelInboundHandler<Envelope> {

    /** Maximum size of a frame, in bytes, before the other side is authenticated. */
    static final int HANDSHAKE_FRAME_BYTES = 4_096;

    private static final int CALL_ID_STEP = 2;
    private static final int PINGS_PER_TIMEOUT = 3;
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
    private int mUnansweredRequests;
    private long mPendingAnswerBytes;
    private long mLastReadNanos;
    private long mLastWriteNanos;
    private long mBusySinceNanos;
    private String mCloseReason = "The connection was closed by the peer.";

    /**
     * Creates a new handler for one side of a connection.
     *
     * @param dialer whether this side opened the connection
     * @param expected the only instance accepted as the peer, or empty to accept any
     * @param lane the lane; the accepting side adopts the lane of the dialer
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

    /** Returns the instance that this side intended to connect to, if it is known. */
    Optional<InstanceId> expected() {
        return mExpected;
    }

    boolean isDialer() {
        return mDialer;
    }

    boolean isReady() {
        return mReady;
    }

    /** Returns the authenticated peer, or {@code null} until the connection is ready. */
    Incarnation peer() {
        return mPeer;
    }

    Lane lane() {
        return mLane;
    }

    boolean isWritable() {
        return mChannel.isWritable();
    }

    /**
     * Writes a message without flushing it, and registers it as a pending call if it is one; {@link
     * #flush} sends it.
     */
    void write(OutboundMessage message, Runnable onDone) {
        Envelope envelope = message.envelope();
        if (message instanceof OutboundCall call) {
            mLastCallId += CALL_ID_STEP;
            long id = mLastCallId;
            startBusyPeriod();
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

    /**
     * Sends the answer to a request. Closes the connection if the peer does not read its answers
     * and more bytes are pending than may be queued. The callback is called once the answer has
     * been written or dropped.
     */
    void answer(long callId, Envelope answer, Runnable onEnd) {
        mUnansweredRequests--;
        if (!mChannel.isActive()) {
            mCounters.mAnswersDropped.increment();
            onEnd.run();
            return;
        }
        int bytes = answer.getSerializedSize();
        mPendingAnswerBytes += bytes;
        if (mPendingAnswerBytes > mSettings.maximumQueuedBytes()) {
            mCounters.mAnswersDropped.increment();
            onEnd.run();
            close("The peer leaves its answers unread.");
            return;
        }
        ChannelProgressivePromise promise = mChannel.newProgressivePromise();
        promise.addListener(future -> mPendingAnswerBytes -= bytes);
        promise.addListener(future -> onEnd.run());
        write(answer.toBuilder().setCallId(callId).build(), promise);
        mChannel.flush();
    }

    /**
     * Closes the connection if nothing was received within the inactivity timeout, and sends a ping
     * if nothing was written for a third of it.
     */
    void checkInactivity() {
        if (!mReady) {
            return;
        }
        long now = mTimeSource.monotonicNanos();
        boolean busy = isBusy();
        long timeoutNanos =
                (busy ? mSettings.busyInactivityTimeout() : mSettings.idleInactivityTimeout())
                        .toNanos();
        long sinceReadNanos = now - mLastReadNanos;
        long inactiveNanos =
                busy ? Math.min(sinceReadNanos, now - mBusySinceNanos) : sinceReadNanos;
        if (inactiveNanos > timeoutNanos) {
            close("The peer was silent for too long.");
        } else if (now - mLastWriteNanos > timeoutNanos / PINGS_PER_TIMEOUT
                && mChannel.isWritable()) {
            write(PING, mChannel.newProgressivePromise());
            mChannel.flush();
        }
    }

    /** Closes the connection for the given reason. */
    void close(String reason) {
        mCloseReason = reason;
        Future<?> unused = mChannel.close();
    }

    /** Closes the connection if the handshake is not complete. */
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
            processHello(envelope.getHello());
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
            closeOnProtocolError("A frame cannot be read: " + cause.getMessage());
        } else {
            close("The connection failed: " + cause.getMessage());
        }
    }

    /** Records received bytes, including those of incomplete frames. */
    void bytesRead(int bytes) {
        mLastReadNanos = mTimeSource.monotonicNanos();
        mCounters.read(mLane, bytes);
    }

    private boolean isBusy() {
        return !mCalls.isEmpty() || mUnansweredRequests > 0;
    }

    private void startBusyPeriod() {
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

    private void processHello(Hello hello) {
        if (isDialer()) {
            finishHandshake(
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
            finishHandshake(
                    hello,
                    fault.<Either<String, Hello>>map(Either::left).orElse(Either.right(hello)));
        }
    }

    private void finishHandshake(Hello hello, Either<String, Hello> outcome) {
        if (outcome.isLeft()) {
            refuseHandshake(outcome.getLeft(), true);
            return;
        }
        Incarnation peer =
                new Incarnation(new InstanceId(hello.getInstance()), hello.getIncarnation());
        Optional<String> rejection = mOwner.rejectionReason(peer);
        if (rejection.isPresent()) {
            refuseHandshake(rejection.get(), true);
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

    private void refuseHandshake(String reason, boolean reportToPeer) {
        mCounters.mHandshakesRefused.increment();
        mCloseReason = reason;
        if (reportToPeer) {
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

    private void closeOnProtocolError(String reason) {
        mCounters.mProtocolErrors.increment();
        close(reason);
    }

    private void dispatch(Envelope envelope) {
        long id = envelope.getCallId();
        if (envelope.hasHello()) {
            closeOnProtocolError("A Hello came after the handshake.");
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
            closeOnProtocolError("An answer came to a call that was never made.");
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
            closeOnProtocolError("A call id came twice.");
            return;
        }
        startBusyPeriod();
        mLastPeerCallId = id;
        mUnansweredRequests++;
        mOwner.received(this, envelope);
    }

    /** Returns whether the peer has more unanswered requests than the maximum. */
    boolean exceedsCallLimit() {
        return mUnansweredRequests > mSettings.maximumCalls();
    }
}
