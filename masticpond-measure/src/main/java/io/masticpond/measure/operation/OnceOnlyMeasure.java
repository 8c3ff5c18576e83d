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
 * {@link Measure} that runs once-only operations through nine instances that are killed, paused and
 * stopped, and counts their executions at the backend servers.
 *
 * @since 0.1
 */
public final class OnceOnlyMeasure implements Measure {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;

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
            measureLatencies(fleet, report);
            measureUnderFaults(fleet, seed, report);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The measure was interrupted.", e);
        }
        return report;
    }

    private static void measureLatencies(MeasuredFleet fleet, MeasureReport report)
            throws InterruptedException {
        OnceOnlyLatency latency = new OnceOnlyLatency(fleet);
        latency.run(OnceOnlyLatency.KeyMode.NO_KEY);
        fleet.backends().log().clear();
        Map<OnceOnlyLatency.KeyMode, OnceOnlyLatency.Result> results =
                new EnumMap<>(OnceOnlyLatency.KeyMode.class);
        List<List<String>> rows = new ArrayList<>();
        for (OnceOnlyLatency.KeyMode keyMode : OnceOnlyLatency.KeyMode.values()) {
            OnceOnlyLatency.Result result = latency.run(keyMode);
            results.put(keyMode, result);
            rows.add(
                    List.of(
                            keyMode.title(),
                            text(millis(result, MEDIAN)),
                            text(millis(result, P99)),
                            text(result.writesPerOperation()),
                            Long.toString(result.failed())));
        }
        report.table(
                new MeasureTable(
                        "Latency of the same 2,000 requests at 600 a second, without faults",
                        List.of("naming", "p50 ms", "p99 ms", "writes per operation", "failed"),
                        rows));
        OnceOnlyLatency.Result base = results.get(OnceOnlyLatency.KeyMode.NO_KEY);
        reportAddedLatency(report, "Homed", results.get(OnceOnlyLatency.KeyMode.HOMED), base);
        reportAddedLatency(
                report, "PassedOn", results.get(OnceOnlyLatency.KeyMode.PASSED_ON), base);
        reportAddedLatency(report, "Claimed", results.get(OnceOnlyLatency.KeyMode.CLAIMED), base);
    }

    private static void reportAddedLatency(
            MeasureReport report,
            String name,
            OnceOnlyLatency.Result result,
            OnceOnlyLatency.Result base) {
        report.figure("addedP50Millis" + name, millis(result, MEDIAN) - millis(base, MEDIAN));
        report.figure("addedP99Millis" + name, millis(result, P99) - millis(base, P99));
        report.figure("writesPerOperation" + name, result.writesPerOperation());
    }

    private static void measureUnderFaults(MeasuredFleet fleet, long seed, MeasureReport report)
            throws InterruptedException {
        long writesBefore = fleet.platform().counts().of(PlatformCall.WRITE);
        OnceOnlyFaultRun faultRun = new OnceOnlyFaultRun(fleet, seed);
        OnceOnlyCounters counters = faultRun.run();
        long writes = fleet.platform().counts().of(PlatformCall.WRITE) - writesBefore;
        List<List<String>> rows =
                new ArrayList<>(
                        List.of(
                                row("operations", faultRun.operations()),
                                row("attempts", counters.mAttempts.sum()),
                                row("answers lost on the way", counters.mLostAnswers.sum()),
                                row("instances killed", faultRun.kills()),
                                row("instances paused", faultRun.pauses()),
                                row("instances stopped as planned", faultRun.stops()),
                                row("answered in the end", counters.mAnswered.sum()),
                                row("did not run, given up", counters.mDidNotRun.sum()),
                                row("unknown in the end", counters.unknown()),
                                row("unknown that ran", counters.unknownThatRan()),
                                row("answers repeated", counters.mRepeatsAnswered.sum()),
                                row("not ended", faultRun.unfinished())));
        counters.unknownByCause()
                .forEach((cause, count) -> rows.add(row("unknown, last " + cause.text(), count)));
        report.table(
                new MeasureTable(
                        "20,000 operations while everything fails",
                        List.of("what", "count"),
                        rows));
        report.figure("operations", faultRun.operations(), MeasureTarget.atLeast(20_000));
        reportCountThatMustBeZero(report, "duplicates", counters.mDuplicates.sum());
        reportCountThatMustBeZero(report, "falseDidNotRun", counters.mFalseDidNotRun.sum());
        reportCountThatMustBeZero(report, "lost", counters.mLost.sum());
        reportCountThatMustBeZero(report, "mismatched", counters.mMismatched.sum());
        reportCountThatMustBeZero(report, "changedAnswers", counters.mChangedAnswers.sum());
        reportCountThatMustBeZero(report, "notEnded", faultRun.unfinished());
        report.figure("unknownShare", (double) counters.unknown() / faultRun.operations());
        report.figure("writesPerOperationUnderFaults", (double) writes / faultRun.operations());
    }

    private static void reportCountThatMustBeZero(MeasureReport report, String name, long value) {
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
