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
 * Review case: the waiting connections of the instances to the store go silent for good while new
 * ones work, and some seconds later the operator moves a route to another service and a server
 * starts to leave.
 */
final class SilentStoreConnections extends ReviewCase {

    private static final List<String> ZONES = List.of("casa-ain", "fes-sidi", "agadir-tass");
    private static final int INSTANCES_PER_ZONE = 2;
    private static final int SLOTS = 8;
    private static final long WORK_MILLIS = 20;
    private static final long ROUTE_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 100;

    /** Bounds {@code config-apply} and {@code drain} of the settings: 2 s. */
    private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * A connection without bytes for this time is one that waits: 2 s, or as {@code IDLE_MILLIS}
     * states in milliseconds; with 0 all open connections go silent.
     */
    private static final long IDLE_NANOS =
            TimeUnit.MILLISECONDS.toNanos(
                    Long.parseLong(System.getenv().getOrDefault("IDLE_MILLIS", "2000")));

    /**
     * Duration in milliseconds of a loss of power of the store, after which it knows none of its
     * connections, as {@code RESTART_MILLIS} states; it is played instead of the silence unless 0.
     */
    private static final long RESTART_MILLIS =
            Long.parseLong(System.getenv().getOrDefault("RESTART_MILLIS", "0"));

    /**
     * Whether only one connection of one instance goes silent, that of its watch of the routing
     * configuration, as {@code ONE=1} states; servers come and go meanwhile.
     */
    private static final boolean IS_ONE = "1".equals(System.getenv("ONE"));

    private static final String ROUTING_WATCH = "GET /v1/objects/config?watch=";
    private static final long ROLL_MILLIS = 700;

    private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** After {@code stability-window} (3 s) all machines are in touch again. */
    private static final long CHANGE_AFTER_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long OBSERVED_NANOS = TimeUnit.SECONDS.toNanos(30);

    private record Sent(String id, int instance, String path, long nanos, int status) {}

    private final ConcurrentLinkedQueue<Sent> mSent = new ConcurrentLinkedQueue<>();
    private volatile boolean mIsFinished;

    private SilentStoreConnections(Path record) throws IOException {
        super(record);
    }

    /** Plays the case; the argument is the path of the record. */
    public static void main(String[] arguments) throws IOException {
        main(new SilentStoreConnections(Path.of(arguments[0])), ZONES);
    }

    @Override
    boolean play(LocalPlatform platform) throws IOException, InterruptedException {
        for (String service : List.of("ledger-old", "ledger-new", "lists")) {
            for (String zone : ZONES) {
                platform.addServer(service + "-" + zone, service, zone, SLOTS, WORK_MILLIS)
                        .register(LocalPlatform.REPORT_INTERVAL);
            }
        }
        RoutingDocument routing =
                new RoutingDocument()
                        .route("/plates/", "ledger-new", false, ROUTE_MILLIS)
                        .route("/plates/", "ledger-old", false, ROUTE_MILLIS)
                        .route("/lists/", "lists", true, ROUTE_MILLIS);
        routing.writeTo(platform.operator());
        SilentLink link = new SilentLink(platform.store().address());
        SilentLink others = IS_ONE ? new SilentLink(platform.store().address()) : link;
        for (int number = 0; number < INSTANCES_PER_ZONE; number++) {
            for (String zone : ZONES) {
                boolean isFirst = platform.instances().isEmpty();
                platform.startInstance(zone, (isFirst ? link : others).address());
            }
        }
        for (InstanceProcess instance : platform.instances()) {
            LocalPlatform.await(instance + " is ready", instance::isReady);
        }
        record("%d instances are ready", platform.instances().size());
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < platform.instances().size(); number++) {
            int instance = number;
            for (String path : List.of("/plates/", "/lists/")) {
                clients.add(DayThreads.daemon(() -> send(platform, instance, path)));
            }
        }
        clients.forEach(Thread::start);
        if (IS_ONE) {
            DayThreads.daemon(() -> roll(platform)).start();
        }
        sleepUntil(System.nanoTime() + QUIET_NANOS);
        long silentNanos = System.nanoTime();
        if (mIsDisrupted) {
            disrupt(link);
        }
        sleepUntil(silentNanos + CHANGE_AFTER_NANOS);
        routing.route("/plates/", "ledger-new", false, ROUTE_MILLIS).writeTo(platform.operator());
        ServerStandIn leaving = platform.servers().get(2 * ZONES.size());
        leaving.leave();
        long acknowledgedNanos = System.nanoTime();
        record("acknowledged: /plates/ goes to ledger-new, and %s is leaving", leaving.id());
        sleepUntil(acknowledgedNanos + OBSERVED_NANOS);
        mIsFinished = true;
        for (Thread client : clients) {
            client.join();
        }
        return evaluate(platform, leaving, acknowledgedNanos);
    }

    /** Adds and removes the entries of servers of another service, one after the other. */
    private void roll(LocalPlatform platform) {
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("address", platform.store().address().toString());
        entry.putObject("info")
                .put("service", "rolled")
                .put("version", "v1")
                .put("zone", ZONES.get(0))
                .put("slots", SLOTS);
        try {
            for (int number = 0; !mIsFinished; number++) {
                platform.operator().write(StoredObjects.SERVERS, "rolled-" + number, entry);
                TimeUnit.MILLISECONDS.sleep(ROLL_MILLIS);
            }
        } catch (IOException exception) {
            System.err.println("A server could not register: " + exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void disrupt(SilentLink link) throws InterruptedException {
        int open = link.open();
        if (IS_ONE) {
            int silent = link.silence(ROUTING_WATCH);
            report("%d connection of the first instance is silent", silent);
        } else if (RESTART_MILLIS > 0) {
            int forgotten = link.restart(RESTART_MILLIS);
            report(
                    "the store was without power for %d ms and forgot %d connections",
                    RESTART_MILLIS, forgotten);
        } else {
            int silent = link.silence(IDLE_NANOS);
            report("%d of %d open connections to the store are silent", silent, open);
        }
    }

    private void send(LocalPlatform platform, int instance, String path) {
        byte[] body = "order".getBytes(StandardCharsets.UTF_8);
        for (int count = 0; !mIsFinished; count++) {
            String id = String.format("%d%s%d", instance, path.replace('/', '-'), count);
            boolean isOnceOnly = path.equals("/plates/");
            long sentNanos = System.nanoTime();
            int status = 0;
            try (DayConnection connection =
                    new DayConnection(platform.instances().get(instance).entry())) {
                status =
                        connection
                                .send(
                                        new DayConnection.Request(
                                                id,
                                                isOnceOnly ? "POST" : "GET",
                                                path + count,
                                                "" + count,
                                                ROUTE_MILLIS,
                                                isOnceOnly ? body : new byte[0]))
                                .status();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            } catch (IOException exception) {
                status = -1;
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
            mSent.add(new Sent(id, instance, path, sentNanos, status));
        }
    }

    private boolean evaluate(LocalPlatform platform, ServerStandIn leaving, long acknowledgedNanos) {
        int late = 0;
        int old = 0;
        int drained = 0;
        double lastOld = 0;
        double lastDrained = 0;
        for (Sent sent : mSent) {
            String server = "none";
            for (ServerStandIn each : platform.servers()) {
                server = each.executions().containsKey(sent.id()) ? each.id() : server;
            }
            double after = (sent.nanos() - acknowledgedNanos) / 1e9;
            record(
                    "sent %.3f s after the acknowledgement: %s to %d, status %d, ran at %s",
                    after, sent.id(), sent.instance(), sent.status(), server);
            if (sent.nanos() - acknowledgedNanos <= BOUND_NANOS) {
                continue;
            }
            late++;
            if (server.startsWith("ledger-old")) {
                old++;
                lastOld = Math.max(lastOld, after);
            } else if (server.equals(leaving.id())) {
                drained++;
                lastDrained = Math.max(lastDrained, after);
            }
        }
        report("%d requests were sent later than 2 s after the acknowledgement", late);
        report("CONFIG: %d of them ran at the old service, the last sent at %.1f s", old, lastOld);
        report(
                "DRAIN: %d of them ran at the leaving server, the last sent at %.1f s",
                drained, lastDrained);
        return old == 0 && drained == 0;
    }
}
