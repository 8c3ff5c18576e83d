package io.masticpond.entry.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.time.ManualTimeSource;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

class HttpEntryServerTest {

    private static final String GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final int TIMEOUT_SECONDS = 60;

    /** More connections than Netty accepts in one pass. */
    private static final int QUEUED_CONNECTIONS = 40;

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final BlockingQueue<Responder> mResponders = new LinkedBlockingQueue<>();
    private final CountDownLatch mDisconnected = new CountDownLatch(1);
    private final MultiThreadIoEventLoopGroup mTraffic =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpEntryServer mServer =
            new HttpEntryServer(
                    mTraffic,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    this::handle,
                    () -> EntryFixture.LIMITS,
                    mTime,
                    EntryFixture.OPTIONS,
                    new BodyBudget(BodyBudgetSettings.ofMemory(256)));

    HttpEntryServerTest() {
        mServer.start().syncUninterruptibly();
    }

    @AfterTry
    void close() {
        mServer.close();
        mTraffic.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void handle(IncomingRequest request, Responder responder) {
        request.body().release();
        responder.onClientDisconnected(mDisconnected::countDown);
        mResponders.add(responder);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(mServer.boundAddress(), TIMEOUT_SECONDS * 1000);
        socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Responder takeResponder() throws InterruptedException {
        return mResponders.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void answer(Responder responder, int bytes) {
        mTraffic.execute(
                () ->
                        responder.answer(
                                new OutgoingAnswer(
                                        200,
                                        new DefaultHttpHeaders(),
                                        Unpooled.wrappedBuffer(new byte[bytes]))));
    }

    /** Advances the clock and checks all connections, as the timer would. */
    private void advance(Duration duration) {
        mTraffic.submit(
                        () -> {
                            mTime.advance(duration);
                            mServer.connections().checkConnections();
                        })
                .syncUninterruptibly();
    }

    private void awaitNoConnection() {
        long begin = System.nanoTime();
        while (mServer.openConnections() > 0
                && System.nanoTime() - begin < TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
            advance(EntryFixture.OPTIONS.writeStall());
        }
        assertThat(mServer.openConnections()).isZero();
        assertThat(mServer.openRequests()).isZero();
    }

    @Example
    void sendsLargeAnswersWholeAndKeepsTheConnection() throws Exception {
        try (Socket socket = connect()) {
            for (int bytes : new int[] {0, 5_000_000, 9_000}) {
                send(socket, GET);
                answer(takeResponder(), bytes);
                String head = "HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n";

                byte[] read = socket.getInputStream().readNBytes(head.length() + bytes);

                assertThat(new String(read, 0, head.length(), StandardCharsets.ISO_8859_1))
                        .isEqualTo(head);
            }
        }
    }

    @Example
    void deliversTheRejectionThoughTheClientIsStillSending() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n");
            send(socket, "a".repeat(9_000_000));

            byte[] read = socket.getInputStream().readAllBytes();

            assertThat(new String(read, StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 413 ");
        }
        awaitNoConnection();
    }

    @Example
    void detectsTheCloseOfClientsWhoseAnswerIsPending() throws Exception {
        Socket socket = connect();
        send(socket, GET);
        takeResponder();

        socket.close();

        assertThat(mDisconnected.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        awaitNoConnection();
    }

    @Example
    void detectsTheResetOfClientsWhoseAnswerIsPending() throws Exception {
        Socket socket = connect();
        send(socket, GET);
        takeResponder();
        socket.setSoLinger(true, 0);

        socket.close();

        assertThat(mDisconnected.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        awaitNoConnection();
    }

    @Example
    void closesConnectionsOfClientsThatReadNothingOfTheirAnswer() throws Exception {
        try (Socket socket = connect()) {
            send(socket, GET);

            answer(takeResponder(), 64_000_000);

            awaitNoConnection();
        }
    }

    @Example
    void servesOpenConnectionsAfterItStoppedAccepting() throws Exception {
        try (Socket socket = connect()) {
            send(socket, GET);
            takeResponder();
            mServer.stopAccepting();
            advance(Duration.ZERO);

            send(socket, GET);

            assertThat(takeResponder()).isNotNull();
            assertThatThrownBy(this::connect).isInstanceOf(IOException.class);
        }
    }

    /** Guards against a reset of connections that wait to be accepted when listening ends. */
    @Example
    void servesConnectionsThatWaitInTheQueueWhenItStopsAccepting() throws Exception {
        CompletableFuture<Void> release = new CompletableFuture<>();
        mTraffic.execute(release::join);
        List<Socket> clients = new ArrayList<>();
        for (int number = 0; number < QUEUED_CONNECTIONS; number++) {
            clients.add(connect());
            send(clients.get(number), GET);
        }
        mServer.stopAccepting();
        release.complete(null);
        for (Socket client : clients) {
            answer(takeResponder(), 0);
            assertThat(client.getInputStream().read()).isEqualTo('H');
            client.close();
        }
        awaitNoConnection();
    }

    @Example
    void closesOpenConnectionsInOrderDuringPlannedStops() throws Exception {
        try (Socket idle = connect();
                Socket busy = connect()) {
            send(idle, GET);
            answer(takeResponder(), 0);
            send(busy, GET);
            Responder pending = takeResponder();
            mServer.drain();
            advance(EntryFixture.OPTIONS.drainPause());
            assertThat(new String(idle.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .isEqualTo("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            assertThat(mServer.openRequests()).isEqualTo(1);

            answer(pending, 0);

            assertThat(new String(busy.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                    .endsWith("Content-Length: 0\r\nConnection: close\r\n\r\n");
        }
        awaitNoConnection();
    }
}
