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
 * One admitter with the daemon's own steering, admission, client and health duty, and stand-in
 * backend servers of which half leave at once, each in another way.
 */
final class DrainBench implements AutoCloseable {

    private static final int SERVERS = 16;
    private static final int FEWER_SLOTS = 3;
    private static final double MEAN_MILLIS = 40;
    private static final double SIGMA = 1;
    private static final double LOAD = 0.4;
    private static final int RING_CAPACITY = 16_384;
    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(10);
    private static final long WARM_MILLIS = 1_500;
    private static final long LEAVE_MILLIS = 4_500;
    private static final long AFTER_STOP_MILLIS = 700;

    private final TimeSource mTimeSource = new SystemTimeSource();
    private final BackendFleet mFleet;
    private final List<BackendServerStandIn> mServers;
    private final Map<DrainKind, Integer> mLeaving = new EnumMap<>(DrainKind.class);
    private final DrainDirectory mDirectory;
    private final EventLoop mDuty;
    private final BackendClient mClient;
    private final AdmitterSteering mSteering;
    private final BackendHealthChecker mHealth;
    private final DrainArrivals mArrivals;

    DrainBench(long seed, boolean probes) {
        mFleet = new BackendFleet(settings(seed));
        mServers = List.copyOf(mFleet.servers());
        for (DrainKind kind : DrainKind.values()) {
            mLeaving.put(kind, mLeaving.size());
        }
        mDirectory = new DrainDirectory(mFleet);
        mDuty = new EventLoop("steering", RING_CAPACITY, mTimeSource);
        mClient = new BackendClient(mTimeSource, HttpClients.executor("backend-call"));
        mSteering =
                new AdmitterSteering(
                        mDuty::put,
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
        mHealth =
                new BackendHealthChecker(
                        BackendHealthSettings.DEFAULTS,
                        mTimeSource,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                        (server, sign) -> mDuty.put(() -> mSteering.observe(server, sign)));
        mArrivals =
                new DrainArrivals(
                        mSteering,
                        mDuty,
                        mTimeSource,
                        LOAD * slots() * Duration.ofSeconds(1).toMillis() / MEAN_MILLIS,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        if (probes) {
            mHealth.watch(mDirectory.servers(DrainDirectory.SHARD));
        }
    }

    DrainRound run() throws InterruptedException {
        mDuty.every(ADVANCE_PERIOD, mSteering::advance);
        mDuty.start();
        mDuty.put(mSteering::reconfigure);
        mArrivals.start();
        Thread.sleep(WARM_MILLIS);
        for (DrainKind kind : DrainKind.values()) {
            drain(kind);
        }
        Thread.sleep(LEAVE_MILLIS);
        Map<DrainKind, DrainOutcome> outcomes = new EnumMap<>(DrainKind.class);
        for (DrainKind kind : DrainKind.values()) {
            outcomes.put(kind, stop(kind));
        }
        Thread.sleep(AFTER_STOP_MILLIS);
        mArrivals.stop();
        return new DrainRound(outcomes, mArrivals.cut(), mArrivals.answered(), mArrivals.refused());
    }

    @Override
    public void close() {
        mHealth.close();
        mDuty.close();
        mClient.close();
        mFleet.close();
    }

    private void drain(DrainKind kind) {
        BackendServerStandIn server = mServers.get(mLeaving.get(kind));
        server.setFaults(kind.faults());
        server.drain(kind.plan());
        if (kind.isMarkedByOperators()) {
            mDuty.put(
                    () -> {
                        mDirectory.markLeaving(mLeaving.get(kind));
                        mSteering.reconfigure();
                    });
        }
    }

    private DrainOutcome stop(DrainKind kind) {
        BackendServerStandIn server = mServers.get(mLeaving.get(kind));
        BackendServerCounts counts = server.counts();
        server.crash();
        long newWork = counts.lastNewWorkMillis() - kind.firstSignMillis();
        return new DrainOutcome(kind, Math.max(0, newWork), counts.inFlight(), counts.requests());
    }

    private int slots() {
        return mServers.stream().mapToInt(server -> server.counts().slots()).sum();
    }

    private static List<BackendServerSettings> settings(long seed) {
        List<BackendServerSettings> settings = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            settings.add(
                    BackendServerSettings.of(
                            "layout-view-" + number,
                            "127.0.0.1:0",
                            FEWER_SLOTS + number % 2,
                            MEAN_MILLIS,
                            SIGMA,
                            seed * SERVERS + number));
        }
        return settings;
    }
}
