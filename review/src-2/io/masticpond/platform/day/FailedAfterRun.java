package io.masticpond.platform.day;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Review case: a backend server fails a part of the bookings that it runs with a 503 of its own,
 * without {@code Not-Executed}.
 */
final class FailedAfterRun extends ReviewCase {

    private static final List<String> ZONES = List.of("perth-a", "bunbury-a", "geraldton-a");
    private static final int SERVERS = 8;
    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 60;
    private static final long ROUTE_MILLIS = 2_500;
    private static final long PAUSE_MILLIS = 50;
    private static final int CLIENTS_PER_INSTANCE = 3;
    private static final int UNAVAILABLE = 503;

    /** Share of its requests that the grey server fails, as in {@code srv_grey} of the site. */
    private static final double FAILED_SHARE = 0.45;

    /** Duration of the disturbance, as in {@code srv_grey} of the site: 6.5 s. */
    private static final long GREY_NANOS = TimeUnit.MILLISECONDS.toNanos(6_500);

    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(4);

    private record Sent(String id, String order, int instance, long nanos, int status) {}

    private final ConcurrentLinkedQueue<Sent> mSent = new ConcurrentLinkedQueue<>();
    private final List<GreyServer> mServers = new ArrayList<>();
    private volatile boolean mIsFinished;

    private FailedAfterRun(Path record) throws IOException {
        super(record);
    }

    /** Plays the case; the argument is the path of the record. */
    public static void main(String[] arguments) throws IOException {
        main(new FailedAfterRun(Path.of(arguments[0])), ZONES);
    }

    @Override
    boolean play(LocalPlatform platform) throws IOException, InterruptedException {
        for (int number = 0; number < SERVERS; number++) {
            String zone = ZONES.get(number % ZONES.size());
            mServers.add(
                    new GreyServer(
                            platform.store().address(),
                            "booking-" + number,
                            "booking",
                            zone,
                            SLOTS,
                            WORK_MILLIS,
                            number));
        }
        new RoutingDocument()
                .route("/bookings/", "booking", false, ROUTE_MILLIS)
                .writeTo(platform.operator());
        for (String zone : ZONES) {
            platform.startInstance(zone);
        }
        for (InstanceProcess instance : platform.instances()) {
            LocalPlatform.await(instance + " is ready", instance::isReady);
        }
        record("%d instances are ready", platform.instances().size());
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS_PER_INSTANCE * ZONES.size(); number++) {
            int client = number;
            clients.add(DayThreads.daemon(() -> send(platform, client)));
        }
        clients.forEach(Thread::start);
        sleepUntil(System.nanoTime() + CALM_NANOS);
        GreyServer grey = mServers.get(0);
        if (mIsDisrupted) {
            grey.fail(FAILED_SHARE, UNAVAILABLE);
            record("%s fails %.2f of its requests", grey.id(), FAILED_SHARE);
        }
        sleepUntil(System.nanoTime() + GREY_NANOS);
        grey.fail(0, UNAVAILABLE);
        record("%s is sound again", grey.id());
        sleepUntil(System.nanoTime() + CALM_NANOS);
        mIsFinished = true;
        for (Thread client : clients) {
            client.join();
        }
        boolean isHeld = evaluate();
        mServers.forEach(GreyServer::close);
        return isHeld;
    }

    /** Sends orders; one that was promised not to have run is sent once more, with a new id. */
    private void send(LocalPlatform platform, int client) {
        int instance = client % ZONES.size();
        for (int count = 0; !mIsFinished; count++) {
            String order = String.format("order-%d-%d", client, count);
            if (attempt(platform, instance, order, order + "-a") == UNAVAILABLE) {
                attempt(platform, instance, order, order + "-b");
            }
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private int attempt(LocalPlatform platform, int instance, String order, String id) {
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
                                            "/bookings/" + order,
                                            order,
                                            ROUTE_MILLIS,
                                            order.getBytes(StandardCharsets.UTF_8)))
                            .status();
        } catch (IOException exception) {
            status = -1;
        }
        mSent.add(new Sent(id, order, instance, sentNanos, status));
        return status;
    }

    private boolean evaluate() {
        Map<String, Integer> runs = new HashMap<>();
        int promised = 0;
        int failed = 0;
        for (Sent sent : mSent) {
            String ran = "did not run";
            boolean hasRun = false;
            for (GreyServer server : mServers) {
                Integer status = server.answered().get(sent.id());
                if (status != null) {
                    hasRun = true;
                    ran = "ran at " + server.id() + ", which answered " + status;
                    failed += status == UNAVAILABLE ? 1 : 0;
                }
            }
            record(
                    "%s sent at %.3f to %d: status %d, %s",
                    sent.id(), seconds(sent.nanos()), sent.instance(), sent.status(), ran);
            runs.merge(sent.order(), hasRun ? 1 : 0, Integer::sum);
            promised += hasRun && sent.status() == UNAVAILABLE ? 1 : 0;
        }
        long doubled = runs.values().stream().filter(count -> count > 1).count();
        report("%d requests were sent, and the server failed %d", mSent.size(), failed);
        report("REFUSED: %d requests that had run were answered 503", promised);
        report("%d orders ran twice, as their client relied on the 503", doubled);
        return promised == 0;
    }
}
