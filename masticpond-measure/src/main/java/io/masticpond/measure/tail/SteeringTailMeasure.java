package io.masticpond.measure.tail;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasurePlot;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * {@link Measure} that compares the tail latency of steering policies.
 *
 * @since 0.1
 */
public final class SteeringTailMeasure implements Measure {

    private static final int REQUESTS = 80_000;
    private static final Set<TailPolicyKind> ALL_KINDS = EnumSet.allOf(TailPolicyKind.class);
    private static final Set<TailPolicyKind> FAULT_FREE_KINDS =
            EnumSet.complementOf(EnumSet.of(TailPolicyKind.FORWARDED_FAULTS));
    private static final TailScenario SHORT =
            new TailScenario("15 ms, 0.85", 15, 0.85, REQUESTS, FAULT_FREE_KINDS);
    private static final TailScenario MEDIUM =
            new TailScenario("40 ms, 0.85", 40, 0.85, REQUESTS, ALL_KINDS);
    private static final TailScenario LONG =
            new TailScenario("120 ms, 0.85", 120, 0.85, REQUESTS, FAULT_FREE_KINDS);
    private static final TailScenario BUSY =
            new TailScenario("40 ms, 0.93", 40, 0.93, REQUESTS, FAULT_FREE_KINDS);
    private static final List<TailScenario> SCENARIOS = List.of(SHORT, MEDIUM, LONG, BUSY);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MEDIUM_TARGET = 1.10;
    private static final double TWO_CHOICES_TARGET = 0.50;
    private static final double SHORT_AND_BUSY_TARGET = 1.20;

    @Override
    public String name() {
        return "steering-tail";
    }

    @Override
    public String explanation() {
        return """
        Latency at clients for each steering policy on the same seeded arrivals: 16 backend
        servers with 3 and 4 slots in turn, lognormal service times with sigma 1, 9 entry
        instances in the two availability zones of one region, 1 ms one way between clients
        and instances and between availability zones, 0.1 ms within one, load reports 500
        to 600 ms old. The forwarded request runs the real admission; the bound is one queue
        with perfect knowledge and no delay at all. Three seeds of 80,000 requests each.\
        """;
    }

    @Override
    public MeasureReport run(long seed) {
        MeasureReport report = new MeasureReport();
        Map<TailScenario, Map<TailPolicyKind, TailResult>> results = TailBench.run(SCENARIOS, seed);
        for (TailScenario scenario : SCENARIOS) {
            report.table(table(scenario, results.get(scenario)));
        }
        report.plot(plot(results));
        addFigures(report, results);
        return report;
    }

    private static void addFigures(
            MeasureReport report, Map<TailScenario, Map<TailPolicyKind, TailResult>> results) {
        MeasureTarget shortAndBusyTarget = MeasureTarget.atMost(SHORT_AND_BUSY_TARGET);
        report.figure(
                "p99OverIdeal",
                overIdeal(results.get(MEDIUM)),
                MeasureTarget.atMost(MEDIUM_TARGET));
        report.figure(
                "p99OverPowerOfTwoChoices",
                ratio(
                        results.get(MEDIUM),
                        TailPolicyKind.FORWARDED,
                        TailPolicyKind.TWO_CHOICES_REPORTS),
                MeasureTarget.atMost(TWO_CHOICES_TARGET));
        report.figure("p99OverIdealShort", overIdeal(results.get(SHORT)), shortAndBusyTarget);
        report.figure("p99OverIdealBusy", overIdeal(results.get(BUSY)), shortAndBusyTarget);
        report.figure(
                "p99OverIdealFaults",
                ratio(
                        results.get(MEDIUM),
                        TailPolicyKind.FORWARDED_FAULTS,
                        TailPolicyKind.CENTRAL_QUEUE));
        TailResult faults = results.get(MEDIUM).get(TailPolicyKind.FORWARDED_FAULTS);
        report.figure("peakSlotUseFaults", faults.peakUse());
        report.figure("overloadedSecondsFaults", faults.overloadedNanos() / NANOS_PER_SECOND);
        report.figure("refusedFaults", faults.refused());
    }

    private static double overIdeal(Map<TailPolicyKind, TailResult> results) {
        return ratio(results, TailPolicyKind.FORWARDED, TailPolicyKind.CENTRAL_QUEUE);
    }

    private static double ratio(
            Map<TailPolicyKind, TailResult> results, TailPolicyKind kind, TailPolicyKind baseline) {
        return results.get(kind).millis(TailResult.P99)
                / results.get(baseline).millis(TailResult.P99);
    }

    private static MeasureTable table(
            TailScenario scenario, Map<TailPolicyKind, TailResult> results) {
        List<List<String>> rows = new ArrayList<>();
        for (Map.Entry<TailPolicyKind, TailResult> each : results.entrySet()) {
            TailResult result = each.getValue();
            rows.add(
                    List.of(
                            each.getKey().title(),
                            text(result.millis(TailResult.P50)),
                            text(result.millis(TailResult.P99)),
                            text(result.millis(TailResult.P999)),
                            Long.toString(result.answered()),
                            Integer.toString(result.refused()),
                            String.format(Locale.ROOT, "%.2f", result.peakUse())));
        }
        return new MeasureTable(
                "Mean service time and load: " + scenario.name(),
                List.of(
                        "policy",
                        "p50 ms",
                        "p99 ms",
                        "p99.9 ms",
                        "answered",
                        "refused",
                        "peak use of a server's slots"),
                rows);
    }

    private static MeasurePlot plot(Map<TailScenario, Map<TailPolicyKind, TailResult>> results) {
        List<MeasurePlot.Series> series = new ArrayList<>();
        for (TailPolicyKind kind : FAULT_FREE_KINDS) {
            Map<TailScenario, TailResult> resultsByScenario = new LinkedHashMap<>();
            for (TailScenario scenario : List.of(SHORT, MEDIUM, LONG)) {
                resultsByScenario.put(scenario, results.get(scenario).get(kind));
            }
            series.add(
                    new MeasurePlot.Series(
                            kind.title(),
                            resultsByScenario.keySet().stream()
                                    .map(scenario -> (double) scenario.meanMillis())
                                    .toList(),
                            resultsByScenario.values().stream()
                                    .map(result -> result.millis(TailResult.P99))
                                    .toList()));
        }
        return new MeasurePlot(
                "p99 at load 0.85",
                "mean service time, ms",
                "p99 latency, ms",
                MeasurePlot.Scale.DOUBLE_LOGARITHMIC,
                series);
    }

    private static String text(double millis) {
        return String.format(Locale.ROOT, "%.1f", millis);
    }
}
