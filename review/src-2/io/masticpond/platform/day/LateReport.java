package io.masticpond.platform.day;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Review case: the store executes a report of a backend server some seconds late, after the server
 * has reported that it is leaving.
 */
final class LateReport extends ReviewCase {

    private static final List<String> ZONES = List.of("perth-a", "bunbury-a", "geraldton-a");
    private static final int SERVERS = 6;
    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 30;
    private static final long ROUTE_MILLIS = 2_500;
    private static final long PAUSE_MILLIS = 10;
    private static final int CLIENTS_PER_INSTANCE = 4;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final int WARM_UP_PER_SECOND = 13;

    /** Bound {@code drain} of the settings: 2 s. */
    private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Longer than {@code stability-window} (3 s), so that the store is stable again. */
    private static final long LEAVES_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(3_300);

    /**
     * Least delay of the report; it is at most 1 s longer, and so below the 6 s that the bench states
     * for late writes.
     */
    private static final long DELAY_MILLIS = 4_900;

    private final Map<String, Long> mSent = new ConcurrentHashMap<>();
    private volatile boolean mIsFinished;

    private LateReport(Path record) throws IOException {
        super(record);
    }

    /** Plays the case; the argument is the path of the record. */
    public static void main(String[] arguments) throws IOException {
        main(new LateReport(Path.of(arguments[0])), ZONES);
    }

    @Override
    boolean play(LocalPlatform platform) throws IOException, InterruptedException {
        List<GreyServer> servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            servers.add(
                    new GreyServer(
                            platform.store().address(),
                            "booking-" + number,
                            "booking",
                            ZONES.get(number % ZONES.size()),
                            SLOTS,
                            WORK_MILLIS,
                            number));
        }
        new RoutingDocument(WARM_UP_MILLIS, WARM_UP_PER_SECOND)
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
        GreyServer leaving = servers.get(0);
        long reportedNanos = System.nanoTime();
        if (mIsDisrupted) {
            leaving.reportLate(DELAY_MILLIS);
            record("a report of %s gets no answer, and is executed later", leaving.id());
        }
        sleepUntil(reportedNanos + LEAVES_AFTER_NANOS);
        long acknowledgedNanos = leaving.leave();
        record("the store has acknowledged that %s is leaving", leaving.id());
        sleepUntil(reportedNanos + TimeUnit.MILLISECONDS.toNanos(DELAY_MILLIS) + CALM_NANOS);
        mIsFinished = true;
        for (Thread client : clients) {
            client.join();
        }
        if (mIsDisrupted) {
            report(
                    "the report was executed %.1f s late, %.1f s after the acknowledgement",
                    (leaving.lateExecutedNanos() - reportedNanos) / 1e9,
                    (leaving.lateExecutedNanos() - acknowledgedNanos) / 1e9);
        }
        boolean isHeld = evaluate(leaving, acknowledgedNanos);
        servers.forEach(GreyServer::close);
        return isHeld;
    }

    private void send(LocalPlatform platform, int client) {
        int instance = client % ZONES.size();
        for (int count = 0; !mIsFinished; count++) {
            String id = String.format("%d-%d", client, count);
            mSent.put(id, System.nanoTime());
            int status;
            try (DayConnection connection =
                    new DayConnection(platform.instances().get(instance).entry())) {
                status =
                        connection
                                .send(
                                        new DayConnection.Request(
                                                id,
                                                "POST",
                                                "/bookings/" + id,
                                                id,
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
            record(
                    "%s sent at %.3f to %d: status %d",
                    id, seconds(mSent.get(id)), instance, status);
        }
    }

    private boolean evaluate(GreyServer leaving, long acknowledgedNanos) {
        Map<Long, String> late = new TreeMap<>();
        leaving.arrivals()
                .forEach(
                        (id, nanos) -> {
                            if (nanos - acknowledgedNanos > DRAIN_NANOS) {
                                late.put(nanos, id);
                            }
                        });
        late.forEach(
                (nanos, id) ->
                        record(
                                "%s ran at %s %.3f s after the acknowledgement; it was sent %.3f s"
                                        + " after it",
                                id,
                                leaving.id(),
                                (nanos - acknowledgedNanos) / 1e9,
                                (mSent.get(id) - acknowledgedNanos) / 1e9));
        report(
                "%d requests were sent, %d ran at the leaving server",
                mSent.size(), leaving.arrivals().size());
        report(
                "DRAIN: %d of them ran there later than 2 s after its leaving was acknowledged",
                late.size());
        return late.isEmpty();
    }
}
