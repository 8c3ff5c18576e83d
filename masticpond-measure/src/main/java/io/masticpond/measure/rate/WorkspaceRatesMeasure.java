package io.masticpond.measure.rate;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Plays loads and faults against the rates of workspaces.
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
    private static final double MOST_WINDOW = 1.0;
    private static final double MOST_REFUSED = 0.002;
    private static final double MOST_REFUSED_CUT = 0.02;
    private static final List<Double> USUAL = List.of(2.0, 20.0, 100.0, 300.0);

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
        double worst = 0;
        double refused = 0;
        double refusedCut = 0;
        for (RateScenario shape : shapes()) {
            for (RatePattern pattern : RatePattern.values()) {
                for (RateSharingStrategy way : ways(shape)) {
                    RateStatistics tally = new RateSimulation(shape, way, pattern, seed).run();
                    rows.add(row(shape, pattern, way, tally));
                    if (way == RateSharingStrategy.SHARED_CREDIT) {
                        worst = Math.max(worst, tally.worst());
                        boolean isCut = pattern.isCut(SECONDS / 2);
                        refused = Math.max(refused, isCut ? 0 : tally.refusedBelow());
                        refusedCut = Math.max(refusedCut, isCut ? tally.refusedBelow() : 0);
                    }
                }
            }
        }
        report.table(new MeasureTable("Rates of workspaces, seed " + seed, COLUMNS, rows));
        report.figure("worstWindow", worst, MeasureTarget.atMost(MOST_WINDOW));
        report.figure("refusedBelowRate", refused, MeasureTarget.atMost(MOST_REFUSED));
        report.figure("refusedWhileCut", refusedCut, MeasureTarget.atMost(MOST_REFUSED_CUT));
        return report;
    }

    private static List<RateScenario> shapes() {
        List<RateScenario> shapes = new ArrayList<>();
        for (double usual : USUAL) {
            shapes.add(new RateScenario(10, 3, usual));
            shapes.add(new RateScenario(67, 3, usual));
            shapes.add(new RateScenario(95, 3, usual));
            shapes.add(new RateScenario(410, 5, usual));
        }
        return shapes;
    }

    private static List<RateSharingStrategy> ways(RateScenario shape) {
        return shape.instances() == 67
                ? List.of(RateSharingStrategy.values())
                : List.of(RateSharingStrategy.SHARED_CREDIT);
    }

    private static List<String> row(
            RateScenario shape,
            RatePattern pattern,
            RateSharingStrategy way,
            RateStatistics tally) {
        double instanceSeconds = shape.instances() * SECONDS;
        return List.of(
                String.valueOf(shape.instances()),
                number(shape.typicalRate()),
                words(pattern),
                words(way),
                number(tally.worst()),
                number(tally.served()),
                String.format(Locale.ROOT, "%.4f", tally.refusedBelow()),
                number(tally.messages() / instanceSeconds),
                number(tally.farMessages() / instanceSeconds));
    }

    private static String words(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
