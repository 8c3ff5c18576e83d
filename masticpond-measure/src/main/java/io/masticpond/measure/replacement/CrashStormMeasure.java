package io.masticpond.measure.replacement;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import io.masticpond.measure.fleet.FleetInstance;
import io.masticpond.measure.fleet.LoadStatistics;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * {@link Measure} that kills two instances and the platform together under load, then restarts the
 * instances while the platform is still unavailable.
 *
 * @since 0.1
 */
public final class CrashStormMeasure implements Measure {

    private static final Duration LOAD_BEFORE_KILL = Duration.ofSeconds(5);
    private static final Duration DOWNTIME = Duration.ofSeconds(8);
    private static final Duration LOAD_AFTER_RESTART = Duration.ofSeconds(5);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double READY_TARGET_SECONDS = 5;

    @Override
    public String name() {
        return "crash-storm";
    }

    @Override
    public String explanation() {
        return "Six instances of Atlas as processes on loopback under load: two of them and the"
                + " platform are killed at the same moment, the two are started again while the"
                + " platform is away, so that they get the configuration from their peers."
                + " unavailableShare is the share of requests without an answer of a backend"
                + " server, recoverySeconds the longest start until ready.";
    }

    @Override
    public MeasureReport run(long seed) {
        try (FleetUnderLoad load = new FleetUnderLoad(1, seed)) {
            pause(LOAD_BEFORE_KILL);
            List<FleetInstance> killedInstances =
                    List.of(load.fleet().instances().get(0), load.fleet().instances().get(3));
            long killNanos = System.nanoTime();
            load.fleet().process("platform").kill();
            killedInstances.forEach(instance -> load.fleet().process(instance.id()).kill());
            long terminatedNanos = System.nanoTime();
            pause(DOWNTIME);
            double recovery = 0;
            for (FleetInstance instance : killedInstances) {
                long start = System.nanoTime();
                load.restart(instance);
                recovery = Math.max(recovery, (System.nanoTime() - start) / NANOS_PER_SECOND);
            }
            pause(LOAD_AFTER_RESTART);
            load.stopCallers();
            CrashAttribution attribution =
                    new CrashAttribution(
                            load.fleet().instances(),
                            killedInstances,
                            load.ended(),
                            killNanos,
                            terminatedNanos);
            return report(load.statistics(), load.fleet().backendCounts(), attribution, recovery);
        } catch (IOException e) {
            throw new UncheckedIOException("The fleet could not be run.", e);
        }
    }

    private static MeasureReport report(
            LoadStatistics statistics,
            JsonNode counts,
            CrashAttribution attribution,
            double recovery) {
        MeasureReport report =
                new MeasureReport()
                        .table(attribution.causes())
                        .table(attribution.seconds())
                        .table(
                                new MeasureTable(
                                        "Answers to other requests",
                                        List.of("answer"),
                                        statistics.mismatches().stream().map(List::of).toList()));
        report.figure("requests", statistics.requests());
        report.figure("answered", statistics.answered());
        report.figure("mismatched", statistics.mismatched(), MeasureTarget.atMost(0));
        report.figure(
                "duplicates", counts.get("duplicateOperations").asLong(), MeasureTarget.atMost(0));
        report.figure("needPlatform", attribution.needPlatform());
        report.figure("underWay", attribution.underWay());
        report.figure("avoidable", attribution.avoidable(), MeasureTarget.atMost(0));
        double requests = statistics.requests();
        report.figure(
                "unavailableShare",
                (requests - statistics.answered()) / requests,
                MeasureTarget.atMost(
                        (attribution.needPlatform() + attribution.underWay()) / requests));
        report.figure("recoverySeconds", recovery, MeasureTarget.atMost(READY_TARGET_SECONDS));
        report.figure("peakSlotUse", highestUse(counts));
        return report;
    }

    private static double highestUse(JsonNode counts) {
        double highestUse = 0;
        for (JsonNode server : counts.get("servers")) {
            highestUse =
                    Math.max(
                            highestUse,
                            server.get("highestInFlight").asDouble()
                                    / server.get("slots").asDouble());
        }
        return highestUse;
    }

    private static void pause(Duration duration) {
        long end = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() - end < 0) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }
}
