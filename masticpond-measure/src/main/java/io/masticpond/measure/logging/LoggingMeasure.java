package io.masticpond.measure.logging;

import io.masticpond.entry.log.LogOptions;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * {@link Measure} of the cost of a log line to the request that it describes, and to the process.
 *
 * @since 0.2
 */
public final class LoggingMeasure implements Measure {

    private static final double HIGH_PERCENTILE = 99.9;
    private static final double HIGH_PERCENTILE_TARGET_MICROS = 100;
    private static final double FULL_BUDGET_TARGET_PERCENT = 2;
    private static final double MICROS_PER_PERCENT = TimeUnit.SECONDS.toMicros(1) / 100.0;
    private static final double NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);

    @Override
    public String name() {
        return "logging";
    }

    @Override
    public String explanation() {
        return """
        40,000 requests, ten each millisecond and one in ten refused, end in the log of the
        request path under its usual budget of 200 lines a second, over a pipe of the system,
        and are kept in memory for operators. Once the pipe is read, once nobody ever reads it.
        The table has the time of the call that the request waits for. Then 500 lines, one each
        10 ms and without a budget, are charged with the processor time of the logging thread;
        the daemon's logging writes a sentence for each of the same requests.\
        """;
    }

    @Override
    public MeasureReport run(long seed) {
        StoppedReaderRun.Result read = StoppedReaderRun.run(true);
        StoppedReaderRun.Result stopped = StoppedReaderRun.run(false);
        LineCostRun.Result entry = LineCostRun.entry();
        LineCostRun.Result daemon = LineCostRun.daemon();
        MeasureReport report = new MeasureReport();
        report.table(calls(read, stopped));
        report.table(costs(entry, daemon));
        report.figure(
                "stoppedReaderCallP999Micros",
                micros(stopped, HIGH_PERCENTILE),
                MeasureTarget.atMost(HIGH_PERCENTILE_TARGET_MICROS));
        report.figure("readCallP999Micros", micros(read, HIGH_PERCENTILE));
        report.figure("stoppedReaderCallMaxMicros", max(stopped));
        report.figure("readRefusalsLeftOut", read.noteworthyLeftOut());
        report.figure("lineMicros", entry.micros(), MeasureTarget.atMost(daemon.micros()));
        report.figure(
                "fullBudgetProcessorPercent",
                entry.micros() * LogOptions.DEFAULT.linesPerSecond() / MICROS_PER_PERCENT,
                MeasureTarget.atMost(FULL_BUDGET_TARGET_PERCENT));
        report.figure("daemonLineMicros", daemon.micros());
        report.figure("writesPerLine", entry.callsPerLine());
        report.figure("daemonWritesPerLine", daemon.callsPerLine());
        return report;
    }

    private static MeasureTable calls(
            StoppedReaderRun.Result read, StoppedReaderRun.Result stopped) {
        return new MeasureTable(
                "Time that a request waits for its line",
                List.of(
                        "output",
                        "p50 µs",
                        "p99 µs",
                        "p99.9 µs",
                        "longest µs",
                        "lines written",
                        "refusals left out",
                        "plain requests left out"),
                List.of(row("read", read), row("nobody reads", stopped)));
    }

    private static List<String> row(String title, StoppedReaderRun.Result result) {
        return List.of(
                title,
                text(micros(result, 50)),
                text(micros(result, 99)),
                text(micros(result, HIGH_PERCENTILE)),
                text(max(result)),
                Long.toString(result.written()),
                Long.toString(result.noteworthyLeftOut()),
                Long.toString(result.plainLeftOut()));
    }

    private static MeasureTable costs(LineCostRun.Result entry, LineCostRun.Result daemon) {
        return new MeasureTable(
                "Cost of a line at 100 lines a second",
                List.of("log", "processor time of the logging thread, µs", "calls of write"),
                List.of(
                        List.of("request path", text(entry.micros()), text(entry.callsPerLine())),
                        List.of("daemon", text(daemon.micros()), text(daemon.callsPerLine()))));
    }

    private static double micros(StoppedReaderRun.Result result, double percentile) {
        return result.nanos().getValueAtPercentile(percentile) / NANOS_PER_MICRO;
    }

    private static double max(StoppedReaderRun.Result result) {
        return result.nanos().getMaxValue() / NANOS_PER_MICRO;
    }

    private static String text(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
