package io.masticpond.platform.day;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Review case: a routing configuration moves a route, removes one and adds one whose name has a
 * letter beyond ASCII.
 */
final class RouteName extends ReviewCase {

    private static final List<String> ZONES = List.of("casa-ain", "fes-sidi", "agadir-tass");
    private static final int SLOTS = 8;
    private static final long WORK_MILLIS = 20;
    private static final long ROUTE_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 50;

    /** Bound {@code config-apply} of the settings: 2 s. */
    private static final long APPLY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long OBSERVED_NANOS = TimeUnit.SECONDS.toNanos(12);

    /** Paths of the route that moves, of the one that is removed and of the one that is added. */
    private static final List<String> PATHS = List.of("/plates/", "/offcuts/", "/reserve/");

    private record Sent(String id, String path, int instance, long nanos, int status) {}

    private final ConcurrentLinkedQueue<Sent> mSent = new ConcurrentLinkedQueue<>();
    private volatile boolean mIsFinished;

    private RouteName(Path record) throws IOException {
        super(record);
    }

    /** Plays the case; the argument is the path of the record. */
    public static void main(String[] arguments) throws IOException {
        main(new RouteName(Path.of(arguments[0])), ZONES);
    }

    @Override
    boolean play(LocalPlatform platform) throws IOException, InterruptedException {
        for (String service : List.of("ledger-old", "ledger-new")) {
            for (String zone : ZONES) {
                platform.addServer(service + "-" + zone, service, zone, SLOTS, WORK_MILLIS)
                        .register(LocalPlatform.REPORT_INTERVAL);
            }
        }
        ObjectNode first = configuration(1);
        addRoute(first, "plates", "/plates/", "ledger-old");
        addRoute(first, "offcuts", "/offcuts/", "ledger-old");
        platform.operator().write("config", "main", first);
        for (String zone : ZONES) {
            platform.startInstance(zone);
        }
        for (InstanceProcess instance : platform.instances()) {
            LocalPlatform.await(instance + " is ready", instance::isReady);
        }
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < ZONES.size(); number++) {
            int instance = number;
            for (String path : PATHS) {
                clients.add(DayThreads.daemon(() -> send(platform, instance, path)));
            }
        }
        clients.forEach(Thread::start);
        sleepUntil(System.nanoTime() + CALM_NANOS);
        ObjectNode second = configuration(2);
        addRoute(second, "plates", "/plates/", "ledger-new");
        String added = mIsDisrupted ? "r\u00e9servation" : "reservation";
        addRoute(second, added, "/reserve/", "ledger-new");
        platform.operator().write("config", "main", second);
        long acknowledgedNanos = System.nanoTime();
        record("acknowledged: version 2 with the route '%s'", added);
        sleepUntil(acknowledgedNanos + OBSERVED_NANOS);
        mIsFinished = true;
        for (Thread client : clients) {
            client.join();
        }
        return evaluate(platform, acknowledgedNanos);
    }

    private static ObjectNode configuration(int version) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put("version", String.format("%08x", version)).putObject("routes");
        for (String service : List.of("ledger-old", "ledger-new")) {
            content.withObject("/services")
                    .putObject(service)
                    .put("health-path", "/health")
                    .put("max-conns", 360)
                    .put("warmup", "3000ms")
                    .put("warmup-per-s", 13);
        }
        content.putObject("limits")
                .put("max-header-bytes", 16_384)
                .put("max-body-bytes", 1_048_576)
                .put("header-timeout", "3s")
                .put("idle-timeout", "15s");
        return content;
    }

    private static void addRoute(ObjectNode content, String name, String prefix, String service) {
        ((ObjectNode) content.get("routes"))
                .putObject(name)
                .put("host", RoutingDocument.HOST)
                .put("path-prefix", prefix)
                .put("kind", "non_idempotent")
                .put("timeout", ROUTE_MILLIS + "ms")
                .put("target-latency", "600ms")
                .put("priority", 1)
                .put("service", service)
                .put("max-attempts", 2)
                .put("session-affinity", true)
                .putArray("allowed-regions");
    }

    private void send(LocalPlatform platform, int instance, String path) {
        for (int count = 0; !mIsFinished; count++) {
            String id = String.format("%d%s%d", instance, path.replace('/', '-'), count);
            long sentNanos = System.nanoTime();
            int status;
            try (DayConnection connection =
                    new DayConnection(platform.instances().get(instance).entry())) {
                status =
                        connection
                                .send(
                                        new DayConnection.Request(
                                                id,
                                                "POST",
                                                path + count,
                                                "" + count,
                                                ROUTE_MILLIS,
                                                id.getBytes(StandardCharsets.UTF_8)))
                                .status();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            } catch (IOException exception) {
                status = -1;
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
            mSent.add(new Sent(id, path, instance, sentNanos, status));
        }
    }

    private boolean evaluate(LocalPlatform platform, long acknowledgedNanos) {
        int late = 0;
        int old = 0;
        int dropped = 0;
        int missing = 0;
        for (Sent sent : mSent) {
            String server = "none";
            for (ServerStandIn each : platform.servers()) {
                server = each.executions().containsKey(sent.id()) ? each.id() : server;
            }
            record(
                    "sent %.3f s after the acknowledgement: %s to %d, status %d, ran at %s",
                    (sent.nanos() - acknowledgedNanos) / 1e9,
                    sent.id(),
                    sent.instance(),
                    sent.status(),
                    server);
            if (sent.nanos() - acknowledgedNanos <= APPLY_NANOS) {
                continue;
            }
            late++;
            boolean isOld = server.startsWith("ledger-old");
            old += isOld && sent.path().equals("/plates/") ? 1 : 0;
            dropped += isOld && sent.path().equals("/offcuts/") ? 1 : 0;
            missing += sent.path().equals("/reserve/") && sent.status() == 404 ? 1 : 0;
        }
        report("%d requests were sent later than 2 s after the acknowledgement", late);
        report("CONFIG: %d ran at the old service of the route that was moved", old);
        report("CONFIG: %d ran on the route that was removed", dropped);
        report("CONFIG: %d on the route that was added got 404", missing);
        return old == 0 && dropped == 0 && missing == 0;
    }
}
