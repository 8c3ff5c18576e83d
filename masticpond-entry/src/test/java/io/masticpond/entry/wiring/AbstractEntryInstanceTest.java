package io.masticpond.entry.wiring;

import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.directory.DirectoryDecider;
import io.masticpond.entry.http.RequestHandler;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LineCounts;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.DocumentTranslator;
import io.masticpond.entry.replica.StoreFeed;
import io.masticpond.entry.replica.StoreProbe;
import io.masticpond.entry.settings.EntrySettings;
import io.masticpond.entry.settings.EntrySettingsReader;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/** Base class of tests of a complete instance whose store is unavailable. */
abstract class AbstractEntryInstanceTest {

    static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /**
     * A loopback address that differs by process id, so that no other process takes a port that was
     * found free.
     */
    static final String HOST = host(ProcessHandle.current().pid());

    private static final int PORTS = 5;
    private static final int OCTET_VALUES = 250;

    final HttpClient mClient = HttpClient.newHttpClient();
    final InMemoryLedgerStore mLedgers = new InMemoryLedgerStore();
    final CompletableFuture<Void> mEnded = new CompletableFuture<>();

    /** Released when a look-up occupies the traffic thread. */
    final CountDownLatch mTrafficBlocked = new CountDownLatch(1);

    /** While this is incomplete, a look-up occupies the traffic thread. */
    final CompletableFuture<Void> mTrafficRelease = new CompletableFuture<>();

    EntryInstance mInstance;
    int mEntryPort;
    int mDirectoryPort;
    String mBounds = "{}";

    private static String host(long processId) {
        return "127."
                + (1 + processId % OCTET_VALUES)
                + "."
                + (1 + processId / OCTET_VALUES % OCTET_VALUES)
                + ".1";
    }

    final int start() throws IOException {
        return start("}");
    }

    final int start(String remainingSettings) throws IOException {
        List<Integer> ports = freePorts();
        mEntryPort = ports.get(0);
        mDirectoryPort = ports.get(3);
        int metrics = ports.get(1);
        String settings =
                String.format(
                        """
                        {"instance": {"id": "i", "zone": "z", "region": "r"},
                        "zones": {"z": "r"},
                        "listen": {"entry": "HOST:%d", "readiness": "HOST:%d",
                        "directory": "HOST:%d", "internal": "HOST:%d",
                        "metrics": "HOST:%d"},
                        "seeds": [], "store": {"address": "127.0.0.1:1"}, "bounds": BOUNDS,
                        "tolerance": {}, "resources": {}
                        """,
                        mEntryPort, ports.get(2), ports.get(3), ports.get(4), metrics);
        String completeSettings =
                settings.replace("HOST", HOST).replace("BOUNDS", mBounds) + remainingSettings;
        mInstance =
                DaggerEntryComponent.factory()
                        .create(
                                new EntrySettingsReader().read(completeSettings).get(),
                                new UnreachablePlatform(),
                                new SystemTimeSource(),
                                DecisionLog.NONE,
                                new LineCounts(),
                                () -> mEnded.complete(null))
                        .instance();
        mInstance.start();
        return metrics;
    }

    /**
     * Requests a page until it matches, since other threads update its values, or until the
     * timeout.
     */
    final HttpResponse<String> getUntil(int port, String path, Pattern expected)
            throws IOException, InterruptedException {
        long begin = System.nanoTime();
        HttpResponse<String> page = get(port, path);
        while (!expected.matcher(page.body()).find() && System.nanoTime() - begin < TIMEOUT_NANOS) {
            page = get(port, path);
        }
        return page;
    }

    final HttpResponse<String> get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path)).build();
        long begin = System.nanoTime();
        while (true) {
            try {
                return mClient.send(request, HttpResponse.BodyHandlers.ofString());
            } catch (ConnectException exception) {
                if (System.nanoTime() - begin > TIMEOUT_NANOS) {
                    throw exception;
                }
                Thread.yield();
            }
        }
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < PORTS; index++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(HOST)));
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return sockets.stream().map(ServerSocket::getLocalPort).toList();
    }

    /** Platform whose store is unreachable. */
    private final class UnreachablePlatform implements PlatformAdapter {

        @Override
        public HeaderNames headerNames() {
            return new HeaderNames(
                    "Id",
                    "Left",
                    "Key",
                    "Seal",
                    "For",
                    "Load",
                    "Limit",
                    "Leaving",
                    "Cold",
                    "Not-Run",
                    "Come-Back",
                    "Credential",
                    "Workspace");
        }

        @Override
        public StoreFeed storeFeed(
                EventLoop control, EntrySettings settings, TimeSource timeSource) {
            return new UnreachableStore(control);
        }

        @Override
        public ConditionalStore ledgerStore(EventLoop control, EntrySettings settings) {
            if (settings.spending().isEmpty()) {
                throw new IllegalStateException(
                        "The ledger store must not be requested without a spending cap.");
            }
            return mLedgers;
        }

        @Override
        public StoreProbe storeProbe(EventLoop control, EntrySettings settings) {
            return new UnreachableProbe(control);
        }

        @Override
        public DocumentTranslator translator() {
            return new RejectingTranslator();
        }

        @Override
        public RequestHandler directoryHandler(DirectoryDecider directory, EntrySettings settings) {
            return (request, responder) -> {
                mTrafficBlocked.countDown();
                mTrafficRelease.join();
                responder.abort();
            };
        }

        @Override
        public RequestHandler readinessHandler(BooleanSupplier ready) {
            return (request, responder) -> responder.abort();
        }
    }
}
