package io.masticpond.platform.day;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Review case: a routing configuration takes away the keys of the only workspace by removing it, and
 * clients continue to send requests with its key and with a key that none ever held.
 */
final class LastWorkspaceRemoved extends ReviewCase {

    private static final List<String> ZONES = List.of("casa-ain", "fes-sidi", "agadir-tass");
    private static final String SERVICE = "plate-ledger";
    private static final String KEY = "key-of-the-workshop";
    private static final String UNKNOWN_KEY = "key-that-none-held";
    private static final int SLOTS = 8;
    private static final long WORK_MILLIS = 20;
    private static final long ROUTE_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 50;
    private static final int OK = 200;

    /** Bound {@code revoke} of the settings: 5 s. */
    private static final long REVOKE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long OBSERVED_NANOS = TimeUnit.SECONDS.toNanos(10);

    private record Sent(String id, String key, int instance, long nanos, int status) {}

    private final ConcurrentLinkedQueue<Sent> mSent = new ConcurrentLinkedQueue<>();
    private volatile boolean mIsFinished;

    private LastWorkspaceRemoved(Path record) throws IOException {
        super(record);
    }

    /** Plays the case; the argument is the path of the record. */
    public static void main(String[] arguments) throws IOException {
        main(new LastWorkspaceRemoved(Path.of(arguments[0])), ZONES);
    }

    @Override
    boolean play(LocalPlatform platform) throws IOException, InterruptedException {
        for (String zone : ZONES) {
            platform.addServer("ledger-" + zone, SERVICE, zone, SLOTS, WORK_MILLIS)
                    .register(LocalPlatform.REPORT_INTERVAL);
        }
        ObjectNode first = configuration(1);
        addWorkspace(first, "workshop", KEY);
        if (!mIsDisrupted) {
            addWorkspace(first, "office", "key-of-the-office");
        }
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
            clients.add(DayThreads.daemon(() -> send(platform, instance, KEY)));
            clients.add(DayThreads.daemon(() -> send(platform, instance, UNKNOWN_KEY)));
        }
        clients.forEach(Thread::start);
        sleepUntil(System.nanoTime() + CALM_NANOS);
        ObjectNode second = configuration(2);
        if (!mIsDisrupted) {
            addWorkspace(second, "office", "key-of-the-office");
        }
        platform.operator().write("config", "main", second);
        long acknowledgedNanos = System.nanoTime();
        record("acknowledged: version 2 without the workspace, %s", second.get("tenants"));
        sleepUntil(acknowledgedNanos + OBSERVED_NANOS);
        mIsFinished = true;
        for (Thread client : clients) {
            client.join();
        }
        return evaluate(platform, acknowledgedNanos);
    }

    private static ObjectNode configuration(int version) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put("version", String.format("%08x", version));
        content.putObject("routes")
                .putObject("plates")
                .put("host", RoutingDocument.HOST)
                .put("path-prefix", "/plates/")
                .put("kind", "non_idempotent")
                .put("timeout", ROUTE_MILLIS + "ms")
                .put("target-latency", "600ms")
                .put("priority", 1)
                .put("service", SERVICE)
                .put("max-attempts", 2)
                .put("session-affinity", true)
                .putArray("allowed-regions");
        content.putObject("services")
                .putObject(SERVICE)
                .put("health-path", "/health")
                .put("max-conns", 360)
                .put("warmup", "3000ms")
                .put("warmup-per-s", 13);
        content.putObject("limits")
                .put("max-header-bytes", 16_384)
                .put("max-body-bytes", 1_048_576)
                .put("header-timeout", "3s")
                .put("idle-timeout", "15s");
        content.putObject("tenants");
        return content;
    }

    private static void addWorkspace(ObjectNode content, String name, String key) {
        ObjectNode workspace = ((ObjectNode) content.get("tenants")).putObject(name);
        workspace.put("name", name).putArray("api-keys").add(key);
        workspace.put("priority", 1).put("rate-per-s", 0).put("burst", 0);
    }

    private void send(LocalPlatform platform, int instance, String key) {
        for (int count = 0; !mIsFinished; count++) {
            String id = String.format("%d-%s-%d", instance, key, count);
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
                                                "/plates/" + count,
                                                "" + count,
                                                ROUTE_MILLIS,
                                                id.getBytes(StandardCharsets.UTF_8),
                                                Map.of("Credential", key)))
                                .status();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            } catch (IOException exception) {
                status = -1;
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
            mSent.add(new Sent(id, key, instance, sentNanos, status));
        }
    }

    private boolean evaluate(LocalPlatform platform, long acknowledgedNanos) {
        int servedBefore = 0;
        int unknownBefore = 0;
        int revokedRan = 0;
        int unknownRan = 0;
        int late = 0;
        for (Sent sent : mSent) {
            boolean hasRun =
                    platform.servers().stream()
                            .anyMatch(server -> server.executions().containsKey(sent.id()));
            double after = (sent.nanos() - acknowledgedNanos) / 1e9;
            record(
                    "sent %.3f s after the acknowledgement: %s to %d, status %d, %s",
                    after, sent.id(), sent.instance(), sent.status(), hasRun ? "ran" : "did not run");
            boolean isUnknown = sent.key().equals(UNKNOWN_KEY);
            if (after < 0) {
                servedBefore += !isUnknown && sent.status() == OK ? 1 : 0;
                unknownBefore += isUnknown && hasRun ? 1 : 0;
            }
            unknownRan += isUnknown && hasRun ? 1 : 0;
            if (sent.nanos() - acknowledgedNanos > REVOKE_NANOS && !isUnknown) {
                late++;
                revokedRan += hasRun ? 1 : 0;
            }
        }
        report(
                "before: %d requests with the key were served, %d with the unknown key ran",
                servedBefore, unknownBefore);
        report(
                "CONFIG: %d of %d requests with the key ran that were sent later than 5 s after the"
                        + " acknowledgement",
                revokedRan, late);
        report("ROUTE: %d requests ran with a key that no configuration ever held", unknownRan);
        if (servedBefore == 0 || late == 0) {
            throw new IllegalStateException("The key was never of use.");
        }
        return revokedRan == 0 && unknownRan == 0;
    }
}
