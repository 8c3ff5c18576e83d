package io.masticpond.measure.operation;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import io.masticpond.testing.platform.PlatformCall;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Runs once-only operations through nine instances that are killed, paused and stopped, and counts
 * at the backend servers what ran.
 *
 * @since 0.1
 */
public final class OnceOnlyMeasure implements Measure {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;

    @Override
    public String name() {
        return "once-only";
    }

    @Override
    public String explanation() {
        return "Nine instances of the daemon's own parts (guard, duties, links, clients of platform"
                + " and backend servers) in one process, with a stand-in platform and 24 stand-in"
                + " backend servers on loopback. First, without faults, the latency of the same"
                + " requests under each kind of key. Then 20,000 operations, half with homed keys"
                + " and half with callers' own, while instances are killed, paused and stopped,"
                + " the platform loses answers and is away for 2 s, backend servers reset, refuse,"
                + " truncate and answer too late, and callers lose answers and repeat through"
                + " other instances. Executions are counted at the backend servers.";
    }

    @Override
    public MeasureReport run(long seed) {
        MeasureReport report = new MeasureReport();
        try (MeasuredFleet fleet = new MeasuredFleet(seed)) {
            latencies(fleet, report);
            storm(fleet, seed, report);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The measure was interrupted.", e);
        }
        return report;
    }

    private static void latencies(MeasuredFleet fleet, MeasureReport report)
            throws InterruptedException {
        OnceOnlyLatency latency = new OnceOnlyLatency(fleet);
        latency.run(OnceOnlyLatency.Naming.NO_KEY);
        fleet.backends().log().clear();
        Map<OnceOnlyLatency.Naming, OnceOnlyLatency.Result> results =
                new EnumMap<>(OnceOnlyLatency.Naming.class);
        List<List<String>> rows = new ArrayList<>();
        for (OnceOnlyLatency.Naming naming : OnceOnlyLatency.Naming.values()) {
            OnceOnlyLatency.Result result = latency.run(naming);
            results.put(naming, result);
            rows.add(
                    List.of(
                            naming.text(),
                            text(millis(result, MEDIAN)),
                            text(millis(result, HIGH)),
                            text(result.writesPerOperation()),
                            Long.toString(result.failed())));
        }
        report.table(
                new MeasureTable(
                        "Latency of the same 2,000 requests at 600 a second, without faults",
                        List.of("naming", "p50 ms", "p99 ms", "writes per operation", "failed"),
                        rows));
        OnceOnlyLatency.Result base = results.get(OnceOnlyLatency.Naming.NO_KEY);
        added(report, "Homed", results.get(OnceOnlyLatency.Naming.HOMED), base);
        added(report, "PassedOn", results.get(OnceOnlyLatency.Naming.PASSED_ON), base);
        added(report, "Claimed", results.get(OnceOnlyLatency.Naming.CLAIMED), base);
    }

    private static void added(
            MeasureReport report,
            String name,
            OnceOnlyLatency.Result result,
            OnceOnlyLatency.Result base) {
        report.figure("addedP50Millis" + name, millis(result, MEDIAN) - millis(base, MEDIAN));
        report.figure("addedP99Millis" + name, millis(result, HIGH) - millis(base, HIGH));
        report.figure("writesPerOperation" + name, result.writesPerOperation());
    }

    private static void storm(MeasuredFleet fleet, long seed, MeasureReport report)
            throws InterruptedException {
        long writesBefore = fleet.platform().counts().of(PlatformCall.WRITE);
        OnceOnlyFaultRun storm = new OnceOnlyFaultRun(fleet, seed);
        OnceOnlyCounters tally = storm.run();
        long writes = fleet.platform().counts().of(PlatformCall.WRITE) - writesBefore;
        List<List<String>> rows =
                new ArrayList<>(
                        List.of(
                                row("operations", storm.operations()),
                                row("attempts", tally.mAttempts.sum()),
                                row("answers lost on the way", tally.mLostOnTheWay.sum()),
                                row("instances killed", storm.kills()),
                                row("instances paused", storm.pauses()),
                                row("instances stopped as planned", storm.stops()),
                                row("answered in the end", tally.mAnswered.sum()),
                                row("did not run, given up", tally.mDidNotRun.sum()),
                                row("unknown in the end", tally.unknown()),
                                row("unknown that ran", tally.unknownThatRan()),
                                row("answers repeated", tally.mRepeatsAnswered.sum()),
                                row("not ended", storm.unfinished())));
        tally.unknownByCause()
                .forEach((cause, count) -> rows.add(row("unknown, last " + cause.text(), count)));
        report.table(
                new MeasureTable(
                        "20,000 operations while everything fails",
                        List.of("what", "count"),
                        rows));
        report.figure("operations", storm.operations(), MeasureTarget.atLeast(20_000));
        zero(report, "duplicates", tally.mDuplicates.sum());
        zero(report, "falseDidNotRun", tally.mFalseDidNotRun.sum());
        zero(report, "lost", tally.mLost.sum());
        zero(report, "mismatched", tally.mMismatched.sum());
        zero(report, "changedAnswers", tally.mChangedAnswers.sum());
        zero(report, "notEnded", storm.unfinished());
        report.figure("unknownShare", (double) tally.unknown() / storm.operations());
        report.figure("writesPerOperationUnderFaults", (double) writes / storm.operations());
    }

    private static void zero(MeasureReport report, String name, long value) {
        report.figure(name, (double) value, MeasureTarget.atMost(0));
    }

    private static double millis(OnceOnlyLatency.Result result, double percentile) {
        return result.nanos().getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private static List<String> row(String what, long count) {
        return List.of(what, Long.toString(count));
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
