package io.masticpond.measure.hostile;

import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.daemon.platform.HttpObjectStore;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.PlatformClientSettings;
import io.masticpond.daemon.platform.PlatformObserver;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.rng.simple.RandomSource;

/** Target that feeds each input to the platform client as the raw bytes of an HTTP response. */
final class PlatformAnswerTarget implements HostileTarget {

    private static final int INPUTS = 6_000;
    private static final int NO_LIMIT = 1_000_000;
    private static final int CALL_KINDS = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.CONFIGURATION, "head");

    private final ServerSocket mServer = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    private final AtomicReference<byte[]> mResponse = new AtomicReference<>(new byte[0]);
    private final HttpObjectStore mStore;
    private int mCallCount;

    PlatformAnswerTarget() throws IOException {
        Thread server = new Thread(this::serve, "hostile-platform");
        server.setDaemon(true);
        server.start();
        PlatformClientSettings settings =
                new PlatformClientSettings(
                        List.of("127.0.0.1:" + mServer.getLocalPort()),
                        NO_LIMIT,
                        TIMEOUT,
                        TIMEOUT,
                        1,
                        Duration.ofMillis(1),
                        Duration.ofMillis(1),
                        NO_LIMIT,
                        Duration.ofMillis(1),
                        Duration.ofMillis(1));
        mStore =
                new HttpObjectStore(
                        settings,
                        new SystemTimeSource(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                        PlatformObserver.NONE);
    }

    @Override
    public String name() {
        return "answers of the platform";
    }

    @Override
    public int inputs() {
        return INPUTS;
    }

    @Override
    public List<byte[]> samples() {
        return List.of(
                response("200 OK\r\nETag: \"3\"", "{\"version\": 3}"),
                response("201 Created\r\nETag: \"1\"", ""),
                response("200 OK", "{\"names\": [\"a\", \"b\"]}"),
                response(
                        "200 OK",
                        "{\"instances\": [{\"id\": \"entry-1\", \"zone\": \"casa-1\","
                                + " \"linkAddress\": \"127.0.0.1:1\", \"leaving\": false}]}"),
                response("412 Precondition Failed\r\nETag: \"4\"", ""),
                response("204 No Content", ""));
    }

    @Override
    public void feed(byte[] input) {
        mResponse.set(input);
        mCallCount++;
        switch (mCallCount % CALL_KINDS) {
            case 0 -> mStore.read(KEY).join();
            case 1 -> mStore.write(KEY, 1, input).join();
            case 2 -> mStore.list(ObjectKind.PLAN, "").join();
            default -> mStore.instances().join();
        }
    }

    @Override
    public void close() throws IOException {
        mStore.close();
        mServer.close();
    }

    private void serve() {
        byte[] request = new byte[1 << 16];
        while (!mServer.isClosed()) {
            try (Socket socket = mServer.accept()) {
                if (socket.getInputStream().read(request) >= 0) {
                    OutputStream output = socket.getOutputStream();
                    output.write(mResponse.get());
                    output.flush();
                }
            } catch (IOException e) {
                // The client closed the connection, or the measure has ended.
            }
        }
    }

    private static byte[] response(String head, String body) {
        return ("HTTP/1.1 "
                        + head
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\nConnection: close\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.UTF_8);
    }
}
