package io.masticpond.measure.replacement;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import io.masticpond.measure.fleet.FleetInstance;
import io.masticpond.measure.fleet.LoadStatistics;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * {@link Measure} that replaces all instances one after another under load, each by a planned stop
 * and a new process.
 *
 * @since 0.1
 */
public final class RollingRestartMeasure implements Measure {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double TAIL = 99;

    @Override
    public String name() {
        return "rolling-restart";
    }

    @Override
    public String explanation() {
        return "Six instances of Atlas as processes on loopback, replaced one after another while"
                + " callers that follow look-ups send mixed requests: each is sent SIGTERM, drains,"
                + " exits, and is started again under its id. cutInFlight counts requests without"
                + " an HTTP answer, failedRequests those and all refusals; drain times run from the"
                + " signal to the exit.";
    }

    @Override
    public MeasureReport run(long seed) {
        try (FleetUnderLoad load = new FleetUnderLoad(1, seed)) {
            Histogram drains = new Histogram(SIGNIFICANT_DIGITS);
            List<List<String>> rows = new ArrayList<>();
            int badExits = 0;
            for (FleetInstance instance : load.fleet().instances()) {
                long startNanos = System.nanoTime();
                int exitCode = load.fleet().process(instance.id()).stop();
                long drainedNanos = System.nanoTime();
                load.restart(instance);
                long readyNanos = System.nanoTime();
                badExits += exitCode == 0 ? 0 : 1;
                drains.recordValue((drainedNanos - startNanos) / 1_000);
                rows.add(
                        List.of(
                                instance.id(),
                                text((drainedNanos - startNanos) / NANOS_PER_MILLI),
                                text((readyNanos - drainedNanos) / NANOS_PER_MILLI),
                                Integer.toString(exitCode)));
            }
            load.stopCallers();
            return report(load.statistics(), drains, rows, badExits);
        } catch (IOException e) {
            throw new UncheckedIOException("The fleet could not be run.", e);
        }
    }

    private static MeasureReport report(
            LoadStatistics statistics, Histogram drains, List<List<String>> rows, int badExits) {
        MeasureReport report =
                new MeasureReport()
                        .table(
                                new MeasureTable(
                                        "Replacements",
                                        List.of("instance", "drain ms", "ready ms", "exit code"),
                                        rows))
                        .table(refusals(statistics));
        report.figure("requests", statistics.requests());
        report.figure("answered", statistics.answered());
        report.figure("mismatched", statistics.mismatched(), MeasureTarget.atMost(0));
        report.figure("cutInFlight", statistics.unanswered(), MeasureTarget.atMost(0));
        report.figure(
                "failedRequests",
                statistics.requests() - statistics.answered(),
                MeasureTarget.atMost(0));
        report.figure("badExits", badExits, MeasureTarget.atMost(0));
        report.figure("drainMillisP50", drains.getValueAtPercentile(MEDIAN) / 1_000.0);
        report.figure("drainMillisP99", drains.getValueAtPercentile(TAIL) / 1_000.0);
        report.figure("latencyMillisP99", statistics.latencyMillis(TAIL));
        return report;
    }

    private static MeasureTable refusals(LoadStatistics statistics) {
        List<List<String>> rows = new ArrayList<>();
        statistics.refusals().forEach((kind, count) -> rows.add(List.of(kind, count.toString())));
        return new MeasureTable("Not answered", List.of("verdict and cause", "count"), rows);
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.0f", value);
    }
}
