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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;

/** Tests calls whose answers have no valid framing. */
class AnswerFramingTest {

    private static final String NEGATIVE_LENGTH =
            "HTTP/1.1 200 OK\r\nContent-Length: -14\r\n\r\nvalue";
    private static final String NO_LENGTH =
            "HTTP/1.1 200 OK\r\nETag: \"4\"\r\nConnection: close\r\n\r\nval";

    // Guards against a cut value of an object that is read as a whole one.
    @Example
    void readsFailIfTheValueEndsWithTheConnection() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpObjectStore store = store(server.getLocalPort())) {
            Thread platform = new Thread(() -> answerEach(server, NO_LENGTH), "platform");
            platform.start();
            Either<PlatformError, Optional<StoredObject>> result =
                    store.read(KEY).get(60, TimeUnit.SECONDS);
            assertThat(result.isLeft()).isTrue();
            server.close();
            platform.join();
        }
    }

    // Guards against a call without an end, as the HTTP client throws for a negative length.
    @Example
    void callsEndAndWritesAreUncertain() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpObjectStore store = store(server.getLocalPort())) {
            Thread platform = new Thread(() -> answerOnce(server, NEGATIVE_LENGTH), "platform");
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

    private static void answerEach(ServerSocket server, String answer) {
        while (!server.isClosed()) {
            try {
                answerOnce(server, answer);
            } catch (IllegalStateException closed) {
                return;
            }
        }
    }

    private static void answerOnce(ServerSocket server, String answer) {
        try (Socket socket = server.accept()) {
            assertThat(socket.getInputStream().read(new byte[4_096])).isPositive();
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
