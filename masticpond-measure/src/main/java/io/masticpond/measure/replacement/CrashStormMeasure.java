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
 * Kills two instances and the platform together under load, then starts the instances again while
 * the platform is still away.
 *
 * @since 0.1
 */
public final class CrashStormMeasure implements Measure {

    private static final Duration BEFORE = Duration.ofSeconds(5);
    private static final Duration STORM = Duration.ofSeconds(8);
    private static final Duration AFTER = Duration.ofSeconds(5);
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
            pause(BEFORE);
            List<FleetInstance> victims =
                    List.of(load.fleet().instances().get(0), load.fleet().instances().get(3));
            long killed = System.nanoTime();
            load.fleet().process("platform").kill();
            victims.forEach(victim -> load.fleet().process(victim.id()).kill());
            long ended = System.nanoTime();
            pause(STORM);
            double recovery = 0;
            for (FleetInstance victim : victims) {
                long start = System.nanoTime();
                load.startAgain(victim);
                recovery = Math.max(recovery, (System.nanoTime() - start) / NANOS_PER_SECOND);
            }
            pause(AFTER);
            load.stopCallers();
            CrashAttribution trace =
                    new CrashAttribution(
                            load.fleet().instances(), victims, load.ended(), killed, ended);
            return report(load.statistics(), load.fleet().backendCounts(), trace, recovery);
        } catch (IOException e) {
            throw new UncheckedIOException("The fleet could not be run.", e);
        }
    }

    private static MeasureReport report(
            LoadStatistics tally, JsonNode counts, CrashAttribution trace, double recovery) {
        MeasureReport report =
                new MeasureReport()
                        .table(trace.causes())
                        .table(trace.seconds())
                        .table(
                                new MeasureTable(
                                        "Answers to other requests",
                                        List.of("answer"),
                                        tally.mismatches().stream().map(List::of).toList()));
        report.figure("requests", tally.requests());
        report.figure("answered", tally.answered());
        report.figure("mismatched", tally.mismatched(), MeasureTarget.atMost(0));
        report.figure(
                "duplicates", counts.get("duplicateOperations").asLong(), MeasureTarget.atMost(0));
        report.figure("needPlatform", trace.needPlatform());
        report.figure("underWay", trace.underWay());
        report.figure("avoidable", trace.avoidable(), MeasureTarget.atMost(0));
        double requests = tally.requests();
        report.figure(
                "unavailableShare",
                (requests - tally.answered()) / requests,
                MeasureTarget.atMost((trace.needPlatform() + trace.underWay()) / requests));
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
