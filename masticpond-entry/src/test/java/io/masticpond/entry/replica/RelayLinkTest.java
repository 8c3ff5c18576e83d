package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.protocol.generated.relay.CategoryAnswer;
import io.masticpond.protocol.generated.relay.CategoryAsk;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;

class RelayLinkTest {

    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final EventLoop mLoop = GROUP.next();
    private final RelayClient mClient = new RelayClient(mLoop);

    @AfterContainer
    static void stop() {
        GROUP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Example
    void carriesRequestAndAnswer() throws Exception {
        int port = serve().getPort();
        RelayAsk request =
                RelayAsk.newBuilder()
                        .addCategories(
                                CategoryAsk.newBuilder().setCategory("c").setAfterRevision(41))
                        .build();
        RelayAnswer answer = request(port, request, TIMEOUT).get();
        assertThat(answer.getCategories(0).getRevision()).isEqualTo(42);
    }

    @Example
    void closesConnectionsThatSendNoRequest() throws Exception {
        InetSocketAddress address = serve();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
            InputStream answer = socket.getInputStream();
            assertThat(isAtEnd(answer)).isTrue();
        }
    }

    @Example
    void failsOnceWhenThePeerIsUnresponsiveOrTerminated() throws Exception {
        int port;
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unresponsive.getLocalPort();
            assertThat(
                            request(port, RelayAsk.getDefaultInstance(), Duration.ofMillis(200))
                                    .isLeft())
                    .isTrue();
        }
        assertThat(request(port, RelayAsk.getDefaultInstance(), TIMEOUT).isLeft()).isTrue();
    }

    private static boolean isAtEnd(InputStream stream) throws IOException {
        try {
            return stream.read() < 0;
        } catch (java.net.SocketException reset) {
            return true;
        }
    }

    private InetSocketAddress serve() throws Exception {
        RelaySource source =
                request ->
                        RelayAnswer.newBuilder()
                                .addCategories(
                                        CategoryAnswer.newBuilder()
                                                .setRevision(
                                                        request.getCategories(0).getAfterRevision()
                                                                + 1))
                                .build();
        RelayServer server = new RelayServer(mLoop, source);
        CompletableFuture<Either<String, InetSocketAddress>> bound = new CompletableFuture<>();
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), bound::complete);
        return bound.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).get();
    }

    private Either<String, RelayAnswer> request(int port, RelayAsk request, Duration timeout)
            throws Exception {
        CompletableFuture<Either<String, RelayAnswer>> answer = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        mClient.request(
                                new ServerAddress("127.0.0.1", port),
                                request,
                                timeout,
                                answer::complete));
        return answer.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }
}
