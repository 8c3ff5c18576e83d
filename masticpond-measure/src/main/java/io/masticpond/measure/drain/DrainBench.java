package io.masticpond.measure.drain;

import io.masticpond.core.admission.AdmissionSettings;
import io.masticpond.core.admission.DefaultAdmission;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.backend.BackendClient;
import io.masticpond.daemon.backend.BackendHealthChecker;
import io.masticpond.daemon.backend.BackendHealthSettings;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.http.HttpClients;
import io.masticpond.daemon.steering.AdmitterSteering;
import io.masticpond.testing.backend.BackendFleet;
import io.masticpond.testing.backend.BackendServerCounts;
import io.masticpond.testing.backend.BackendServerSettings;
import io.masticpond.testing.backend.BackendServerStandIn;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Benchmark of one admitter with the daemon's own steering, admission, client and health checks,
 * over stand-in backend servers of which half leave at the same time, each in a way of its own.
 */
final class DrainBench implements AutoCloseable {

    private static final int SERVERS = 16;
    private static final int MIN_SLOTS = 3;
    private static final double MEAN_MILLIS = 40;
    private static final double SIGMA = 1;
    private static final double LOAD = 0.4;
    private static final int RING_CAPACITY = 16_384;
    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(10);
    private static final long WARM_UP_MILLIS = 1_500;
    private static final long DRAIN_MILLIS = 4_500;
    private static final long AFTER_STOP_MILLIS = 700;

    private final TimeSource mTimeSource = new SystemTimeSource();
    private final BackendFleet mFleet;
    private final List<BackendServerStandIn> mServers;
    private final Map<DrainKind, Integer> mServerNumbers = new EnumMap<>(DrainKind.class);
    private final DrainDirectory mDirectory;
    private final EventLoop mSteeringLoop;
    private final BackendClient mClient;
    private final AdmitterSteering mSteering;
    private final BackendHealthChecker mHealthChecker;
    private final DrainArrivals mArrivals;

    DrainBench(long seed, boolean healthChecks) {
        mFleet = new BackendFleet(settings(seed));
        mServers = List.copyOf(mFleet.servers());
        for (DrainKind kind : DrainKind.values()) {
            mServerNumbers.put(kind, mServerNumbers.size());
        }
        mDirectory = new DrainDirectory(mFleet);
        mSteeringLoop = new EventLoop("steering", RING_CAPACITY, mTimeSource);
        mClient = new BackendClient(mTimeSource, HttpClients.executor("backend-call"));
        mSteering =
                new AdmitterSteering(
                        mSteeringLoop::put,
                        mDirectory,
                        mClient,
                        (shard, sink) ->
                                new DefaultAdmission(
                                        shard,
                                        AdmissionSettings.DEFAULT,
                                        mTimeSource,
                                        sink,
                                        Timeline.NONE),
                        Timeline.NONE);
        mHealthChecker =
                new BackendHealthChecker(
                        BackendHealthSettings.DEFAULT,
                        mTimeSource,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                        (server, signal) ->
                                mSteeringLoop.put(() -> mSteering.observe(server, signal)));
        mArrivals =
                new DrainArrivals(
                        mSteering,
                        mSteeringLoop,
                        mTimeSource,
                        LOAD * totalSlots() * Duration.ofSeconds(1).toMillis() / MEAN_MILLIS,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        if (healthChecks) {
            mHealthChecker.watch(mDirectory.servers(DrainDirectory.SHARD));
        }
    }

    DrainRound run() throws InterruptedException {
        mSteeringLoop.schedulePeriodically(ADVANCE_PERIOD, mSteering::advance);
        mSteeringLoop.start();
        mSteeringLoop.put(mSteering::reconfigure);
        mArrivals.start();
        Thread.sleep(WARM_UP_MILLIS);
        for (DrainKind kind : DrainKind.values()) {
            startDrain(kind);
        }
        Thread.sleep(DRAIN_MILLIS);
        Map<DrainKind, DrainOutcome> outcomes = new EnumMap<>(DrainKind.class);
        for (DrainKind kind : DrainKind.values()) {
            outcomes.put(kind, stopServer(kind));
        }
        Thread.sleep(AFTER_STOP_MILLIS);
        mArrivals.stop();
        return new DrainRound(
                outcomes, mArrivals.incomplete(), mArrivals.answered(), mArrivals.refused());
    }

    @Override
    public void close() {
        mHealthChecker.close();
        mSteeringLoop.close();
        mClient.close();
        mFleet.close();
    }

    private void startDrain(DrainKind kind) {
        BackendServerStandIn server = mServers.get(mServerNumbers.get(kind));
        server.setFaults(kind.faults());
        server.drain(kind.plan());
        if (kind.isMarkedByOperators()) {
            mSteeringLoop.put(
                    () -> {
                        mDirectory.markLeaving(mServerNumbers.get(kind));
                        mSteering.reconfigure();
                    });
        }
    }

    private DrainOutcome stopServer(DrainKind kind) {
        BackendServerStandIn server = mServers.get(mServerNumbers.get(kind));
        BackendServerCounts counts = server.counts();
        server.crash();
        long newWorkMillis = counts.lastNewWorkMillis() - kind.firstSignalMillis();
        return new DrainOutcome(
                kind, Math.max(0, newWorkMillis), counts.inFlight(), counts.requests());
    }

    private int totalSlots() {
        return mServers.stream().mapToInt(server -> server.counts().slots()).sum();
    }

    private static List<BackendServerSettings> settings(long seed) {
        List<BackendServerSettings> settings = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            settings.add(
                    BackendServerSettings.of(
                            "layout-view-" + number,
                            "127.0.0.1:0",
                            MIN_SLOTS + number % 2,
                            MEAN_MILLIS,
                            SIGMA,
                            seed * SERVERS + number));
        }
        return settings;
    }
}
