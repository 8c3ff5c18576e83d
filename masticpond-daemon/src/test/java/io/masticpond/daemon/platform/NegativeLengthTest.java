package io.masticpond.daemon.platform;

import static io.masticpond.daemon.platform.StoreFixture.KEY;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.SystemTimeSource;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Tests that a call completes although the HTTP client throws for an answer with a negative length.
 */
class NegativeLengthTest {

    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: -14\r\n\r\nvalue";

    @Example
    void callsEndAndWritesAreUncertain() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpObjectStore store = store(server.getLocalPort())) {
            Thread platform = new Thread(() -> answerOnce(server), "platform");
            platform.start();
            Either<PlatformError, Long> result =
                    store.write(KEY, 3, new byte[] {1}).get(60, TimeUnit.SECONDS);
            assertThat(result.getLeft()).isInstanceOf(PlatformError.Uncertain.class);
            platform.join();
        }
    }

    private static HttpObjectStore store(int port) {
        return new HttpObjectStore(
                StoreFixture.settings(StoreFixture.BUDGET, "127.0.0.1:" + port),
                new SystemTimeSource(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                PlatformObserver.NONE);
    }

    private static void answerOnce(ServerSocket server) {
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read(new byte[4_096])).isPositive();
            socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
