package io.masticpond.measure.lookup;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.ClientBlockTable;
import io.masticpond.core.lookup.LookupDecider;
import io.masticpond.core.lookup.LookupParameters;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.daemon.caller.CallerServer;
import io.masticpond.daemon.caller.RequestIdGenerator;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.settings.DaemonSettings.CallerSettings;
import io.masticpond.measure.support.Deployment;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Measurement of look-ups through the real caller interface on loopback. */
final class HttpLookups {

    private static final int CONNECTIONS = 8;
    private static final int WARM_UP_LOOKUPS = 1_500;
    private static final int LOOKUPS = 1_500;
    private static final int OK = 200;
    private static final String LOOPBACK = "127.0.0.1";

    private final Configuration mConfiguration = Deployment.ATLAS.configuration();
    private final ServiceId mService = Deployment.ATLAS.services().get(0);

    /**
     * Result of the measurement.
     *
     * @param perSecond the look-ups a second over all connections, including the clients' own work
     * @param serverMicros the mean processor time of the server's threads for a look-up, in
     *     microseconds
     */
    record Result(double perSecond, double serverMicros) {}

    Result run() {
        int port = freePort();
        CallerSettings settings =
                new CallerSettings(LOOPBACK + ":" + port, null, null, null, null, null, null);
        LookupDecider decider =
                new LookupDecider(
                        mConfiguration,
                        ClientBlockTable.of(mConfiguration.content().clientBlocks()).get(),
                        Deployment.ATLAS.members(),
                        Deployment.ATLAS.zones().get(0),
                        LookupParameters.DEFAULT);
        try (CallerServer server =
                new CallerServer(
                        settings,
                        new LookupService(mConfiguration, decider),
                        new RequestIdGenerator(1),
                        new RequestIntake(),
                        new SystemTimeSource())) {
            server.start();
            sendLookups(port, WARM_UP_LOOKUPS);
            long processorNanosBefore = serverProcessorNanos();
            long start = System.nanoTime();
            sendLookups(port, LOOKUPS);
            long nanos = System.nanoTime() - start;
            long processorNanos = serverProcessorNanos() - processorNanosBefore;
            int totalLookups = LOOKUPS * CONNECTIONS;
            return new Result(
                    totalLookups * (double) TimeUnit.SECONDS.toNanos(1) / nanos,
                    (double) processorNanos / totalLookups / TimeUnit.MICROSECONDS.toNanos(1));
        }
    }

    private void sendLookups(int port, int lookups) {
        ExecutorService clients = Executors.newFixedThreadPool(CONNECTIONS);
        try {
            List<Future<Void>> results = new ArrayList<>();
            for (int client = 0; client < CONNECTIONS; client++) {
                results.add(clients.submit(lookupTask(port, client, lookups)));
            }
            for (Future<Void> result : results) {
                result.get();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The look-ups were interrupted.", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("A look-up failed.", e);
        } finally {
            clients.shutdownNow();
        }
    }

    private Callable<Void> lookupTask(int port, int client, int lookups) {
        HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        return () -> {
            for (int i = 0; i < lookups; i++) {
                HttpRequest request =
                        HttpRequest.newBuilder(
                                        URI.create(
                                                String.format(
                                                        "http://%s:%d/v1/lookup?service=%s"
                                                                + "&client=10.%d.0.%d",
                                                        LOOPBACK,
                                                        port,
                                                        mService,
                                                        client % 6,
                                                        i % 250)))
                                .build();
                HttpResponse<byte[]> answer =
                        http.send(request, HttpResponse.BodyHandlers.ofByteArray());
                if (answer.statusCode() != OK) {
                    throw new IllegalStateException(
                            "Look-up failed with status " + answer.statusCode() + ".");
                }
            }
            return null;
        };
    }

    private static long serverProcessorNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
            boolean isServerThread =
                    thread != null
                            && (thread.getThreadName().startsWith("Jetty")
                                    || thread.getThreadName().startsWith("qtp")
                                    || thread.getThreadName().startsWith("caller"));
            sum += isServerThread ? Math.max(0, threads.getThreadCpuTime(thread.getThreadId())) : 0;
        }
        return sum;
    }

    private static int freePort() {
        try (ServerSocket socket =
                new ServerSocket(0, 1, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}))) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException("Found no free port on loopback.", e);
        }
    }
}
