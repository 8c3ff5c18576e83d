package io.masticpond.entry.backend;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.time.ManualTimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Fixture with connections under test to one stand-in server, on an event loop of their own. */
final class BackendFixture implements AutoCloseable {

    static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(120);
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long MAXIMUM_BYTES = 64L << 20;
    static final String NOT_EXECUTED = "X-Not-Executed";

    final BodyBudget mBudget = new BodyBudget(BodyBudgetSettings.ofMemory(256));
    final RawServer mServer;
    final ManualTimeSource mClock = new ManualTimeSource(Instant.EPOCH);
    final NettyBackendConnections mConnections;
    final RegisteredServer mTarget;
    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mGroup.next();

    BackendFixture() throws Exception {
        this(
                new ConnectionOptions(
                        ConnectionOptions.DEFAULT_REQUEST_ID_HEADER,
                        NOT_EXECUTED,
                        LONG_NANOS,
                        IDLE_NANOS,
                        MAXIMUM_BYTES));
    }

    BackendFixture(ConnectionOptions options) throws Exception {
        mServer = new RawServer();
        mConnections = new NettyBackendConnections(mLoop, mClock, options, mBudget);
        mTarget =
                new RegisteredServer(
                        new BackendServerId("server-1"),
                        new ServiceId("service"),
                        new ServerAddress("127.0.0.1", mServer.port()),
                        new ZoneId("zone"),
                        8,
                        false,
                        0);
    }

    static BackendRequest request(String id, HttpMethod method, ByteBuf body, long timeoutNanos) {
        return request(id, method, body, timeoutNanos, true);
    }

    static BackendRequest request(
            String id, HttpMethod method, ByteBuf body, long timeoutNanos, boolean repeatable) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "host").set("X-Request-Id", id);
        return new BackendRequest(id, method, "/path?q=1", headers, body, timeoutNanos, repeatable);
    }

    static BackendRequest get(String id) {
        return request(id, HttpMethod.GET, Unpooled.EMPTY_BUFFER, LONG_NANOS);
    }

    static BackendRequest onceOnly(String id) {
        return request(id, HttpMethod.POST, Unpooled.EMPTY_BUFFER, LONG_NANOS, false);
    }

    /** Sends a request on the event loop, with a maximum of eight connections. */
    RecordingCallListener send(BackendRequest request) throws Exception {
        return onLoop(() -> sendOnLoop(request, 8));
    }

    RecordingCallListener send(String id) throws Exception {
        return send(get(id));
    }

    /** Sends a request; must be called on the event loop. */
    RecordingCallListener sendOnLoop(BackendRequest request, int maximumConnections) {
        RecordingCallListener recorder = new RecordingCallListener();
        mConnections.send(mTarget, maximumConnections, request, recorder);
        return recorder;
    }

    /** Opens a connection and leaves it idle after one answered request. */
    RawServer.Connection openIdleConnection(String answerHeaders) throws Exception {
        RecordingCallListener first = send("first");
        RawServer.Connection connection = mServer.accept();
        connection.readHead();
        connection.send(Answers.complete("first", answerHeaders, "x"));
        first.answer();
        return connection;
    }

    void advance(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    /**
     * Advances the wall clock but not the monotonic clock, as during a suspension of the machine; a
     * negative time sets the wall clock back.
     */
    void suspend(long millis) {
        mClock.stepWallClock(Duration.ofMillis(millis));
    }

    EventLoop loop() {
        return mLoop;
    }

    long opened() throws Exception {
        return onLoop(() -> mConnections.counts().opened());
    }

    long open() throws Exception {
        return onLoop(() -> mConnections.counts().open());
    }

    long idle() throws Exception {
        return onLoop(() -> mConnections.counts().idle());
    }

    <T> T onLoop(Callable<T> task) throws Exception {
        return mLoop.submit(task).get(60, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        onLoop(
                () -> {
                    mConnections.close();
                    return null;
                });
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        mServer.close();
    }
}
