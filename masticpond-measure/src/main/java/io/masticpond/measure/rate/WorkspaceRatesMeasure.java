package io.masticpond.measure.rate;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * {@link Measure} of the rates of workspaces in simulations of loads and faults.
 *
 * @since 0.2
 */
public final class WorkspaceRatesMeasure implements Measure {

    private static final List<String> COLUMNS =
            List.of(
                    "instances",
                    "usual a second",
                    "pattern",
                    "way",
                    "fullest window of the bound",
                    "let through of an exact bucket",
                    "refused below the rate",
                    "messages an instance a second",
                    "of them between zones");

    private static final double SECONDS = 26;
    private static final double MAXIMUM_WINDOW = 1.0;
    private static final double MAXIMUM_REFUSED = 0.002;
    private static final double MAXIMUM_REFUSED_PARTITIONED = 0.02;
    private static final List<Double> TYPICAL_RATES = List.of(2.0, 20.0, 100.0, 300.0);

    @Override
    public String name() {
        return "workspace-rates";
    }

    @Override
    public String explanation() {
        return "The rate of one workspace over 10, 67, 95 and 410 instances on a simulated clock,"
                + " by the product's classes: the fullest window of 5 s against its bound, what is"
                + " let through against one exact bucket, and what is refused while half of the"
                + " burst is left. At 67 instances two other ways are played as well.";
    }

    @Override
    public MeasureReport run(long seed) {
        MeasureReport report = new MeasureReport();
        List<List<String>> rows = new ArrayList<>();
        double worstWindow = 0;
        double refused = 0;
        double refusedPartitioned = 0;
        for (RateScenario scenario : scenarios()) {
            for (RatePattern pattern : RatePattern.values()) {
                for (RateSharingStrategy strategy : strategies(scenario)) {
                    RateStatistics statistics =
                            new RateSimulation(scenario, strategy, pattern, seed).run();
                    rows.add(row(scenario, pattern, strategy, statistics));
                    if (strategy == RateSharingStrategy.SHARED_CREDIT) {
                        worstWindow = Math.max(worstWindow, statistics.worstWindow());
                        boolean isPartitioned = pattern.isPartitioned(SECONDS / 2);
                        refused =
                                Math.max(
                                        refused, isPartitioned ? 0 : statistics.refusedBelowRate());
                        refusedPartitioned =
                                Math.max(
                                        refusedPartitioned,
                                        isPartitioned ? statistics.refusedBelowRate() : 0);
                    }
                }
            }
        }
        report.table(new MeasureTable("Rates of workspaces, seed " + seed, COLUMNS, rows));
        report.figure("worstWindow", worstWindow, MeasureTarget.atMost(MAXIMUM_WINDOW));
        report.figure("refusedBelowRate", refused, MeasureTarget.atMost(MAXIMUM_REFUSED));
        report.figure(
                "refusedWhileCut",
                refusedPartitioned,
                MeasureTarget.atMost(MAXIMUM_REFUSED_PARTITIONED));
        return report;
    }

    private static List<RateScenario> scenarios() {
        List<RateScenario> scenarios = new ArrayList<>();
        for (double typicalRate : TYPICAL_RATES) {
            scenarios.add(new RateScenario(10, 3, typicalRate));
            scenarios.add(new RateScenario(67, 3, typicalRate));
            scenarios.add(new RateScenario(95, 3, typicalRate));
            scenarios.add(new RateScenario(410, 5, typicalRate));
        }
        return scenarios;
    }

    private static List<RateSharingStrategy> strategies(RateScenario scenario) {
        return scenario.instances() == 67
                ? List.of(RateSharingStrategy.values())
                : List.of(RateSharingStrategy.SHARED_CREDIT);
    }

    private static List<String> row(
            RateScenario scenario,
            RatePattern pattern,
            RateSharingStrategy strategy,
            RateStatistics statistics) {
        double instanceSeconds = scenario.instances() * SECONDS;
        return List.of(
                String.valueOf(scenario.instances()),
                number(scenario.typicalRate()),
                words(pattern),
                words(strategy),
                number(statistics.worstWindow()),
                number(statistics.servedShare()),
                String.format(Locale.ROOT, "%.4f", statistics.refusedBelowRate()),
                number(statistics.messages() / instanceSeconds),
                number(statistics.crossZoneMessages() / instanceSeconds));
    }

    private static String words(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
