package io.masticpond.entry.backend;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.probe.ProbeResult;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Client that requests the health path of backend servers over their pooled connections. A probe is
 * neither a request nor an attempt of one, and is never repeated. It carries no request id, which
 * stands for a request of a client. For use on the traffic thread only.
 *
 * @since 0.3
 */
public final class ProbeClient {

    /** Time after which a probe without a complete answer ends. */
    public static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * Timeout of the call, which must be longer than that of the probe: a call that times out
     * closes all idle connections to its server, while a cancelled one closes only its own.
     */
    private static final long CALL_TIMEOUT_NANOS = 2 * TIMEOUT_NANOS;

    private final BackendConnections mConnections;
    private final EventLoop mEventLoop;
    private final TimeSource mTimeSource;
    private final String mIdPrefix;
    private long mCount;

    /**
     * Creates a client.
     *
     * @param connections the connections
     * @param eventLoop the traffic thread
     * @param timeSource the clock
     * @param idPrefix a prefix of the ids of probes that differs between instances and their runs
     */
    public ProbeClient(
            BackendConnections connections,
            EventLoop eventLoop,
            TimeSource timeSource,
            String idPrefix) {
        mConnections = Assert.notNull(connections, "Backend connections");
        mEventLoop = Assert.notNull(eventLoop, "An event loop");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mIdPrefix = Assert.hasText(idPrefix, "A prefix of ids");
    }

    /**
     * Sends a probe on a connection of its own.
     *
     * @param server the server
     * @param healthPath the path to request
     * @param listener the listener for the answer, or for the result of a probe without one; called
     *     once, and never before this method returns
     */
    public void sendOnNewConnection(
            RegisteredServer server,
            String healthPath,
            Consumer<Either<ProbeResult, ProbeAnswer>> listener) {
        Probe probe = new Probe(mTimeSource.monotonicNanos(), listener);
        start(mConnections.sendOnNewConnection(server, request(server, healthPath), probe), probe);
    }

    /**
     * Sends a probe.
     *
     * @param server the server
     * @param maximumConnections the maximum number of connections that this instance may hold to
     *     the server
     * @param healthPath the path to request
     * @param listener the listener for the answer, or for the result of a probe without one; called
     *     once, and never before this method returns
     */
    public void send(
            RegisteredServer server,
            int maximumConnections,
            String healthPath,
            Consumer<Either<ProbeResult, ProbeAnswer>> listener) {
        Probe probe = new Probe(mTimeSource.monotonicNanos(), listener);
        BackendRequest request = request(server, healthPath);
        start(mConnections.send(server, maximumConnections, request, probe), probe);
    }

    private BackendRequest request(RegisteredServer server, String healthPath) {
        String id = mIdPrefix + mCount++;
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.HOST, server.address().toString());
        return new BackendRequest(
                id,
                HttpMethod.GET,
                healthPath,
                headers,
                Unpooled.EMPTY_BUFFER,
                CALL_TIMEOUT_NANOS,
                true,
                true);
    }

    private void start(BackendCall call, Probe probe) {
        probe.mTimer =
                mEventLoop.schedule(
                        () -> {
                            call.cancel();
                            probe.mListener.accept(Either.left(ProbeResult.NO_ANSWER));
                        },
                        TIMEOUT_NANOS,
                        TimeUnit.NANOSECONDS);
    }

    /** Probe in flight. */
    private static final class Probe implements BackendCallListener {

        private final long mSentNanos;
        private final Consumer<Either<ProbeResult, ProbeAnswer>> mListener;
        private Future<?> mTimer;
        private ProbeAnswer mAnswer;

        Probe(long sentNanos, Consumer<Either<ProbeResult, ProbeAnswer>> listener) {
            mSentNanos = sentNanos;
            mListener = listener;
        }

        @Override
        public void answerBegan(int status, HttpHeaders headers) {
            mAnswer = new ProbeAnswer(status, headers, mSentNanos);
        }

        @Override
        public void answered(BackendAnswer answer) {
            answer.body().release();
            mTimer.cancel(false);
            mListener.accept(Either.right(mAnswer));
        }

        /** Ends the probe. The head of an answer that broke off counts, as it does for requests. */
        @Override
        public void failed(CallFailure failure) {
            mTimer.cancel(false);
            mListener.accept(
                    mAnswer == null ? Either.left(ProbeResult.FAILED) : Either.right(mAnswer));
        }
    }
}
