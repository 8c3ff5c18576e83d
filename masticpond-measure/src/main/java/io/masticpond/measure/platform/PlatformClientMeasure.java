package io.masticpond.measure.platform;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.testing.platform.PlatformCallDisposition;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * {@link Measure} of the client of the platform: its latency, and its calls during an outage.
 *
 * @since 0.1
 */
public final class PlatformClientMeasure implements Measure {

    private static final List<PlatformCallDisposition> OUTAGES =
            List.of(
                    PlatformCallDisposition.REFUSED,
                    PlatformCallDisposition.IGNORED,
                    PlatformCallDisposition.ANSWER_MALFORMED);

    @Override
    public String name() {
        return "platform-client";
    }

    @Override
    public String explanation() {
        return """
        The daemon's client against a stand-in platform over loopback, in real time. Latency of
        3,000 reads and writes of 1 KB, one after the other. Three outages of 5 s (calls refused,
        never answered, answered with something else), with a read asked for every 20 ms: how
        many calls were made, how long a read took to fail, how soon after the outage one was
        answered.\
        """;
    }

    @Override
    public MeasureReport run(long seed) {
        try {
            return measure(seed);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The measure was interrupted.", e);
        }
    }

    private static MeasureReport measure(long seed) throws InterruptedException {
        MeasureReport report = new MeasureReport();
        CallLatency latency = CallLatency.measure(seed);
        addLatency(report, latency);
        Map<PlatformCallDisposition, OutageRun.Result> outages =
                new EnumMap<>(PlatformCallDisposition.class);
        for (PlatformCallDisposition disposition : OUTAGES) {
            outages.put(disposition, OutageRun.run(disposition, seed));
        }
        addOutages(report, outages);
        return report;
    }

    private static void addLatency(MeasureReport report, CallLatency latency) {
        report.table(
                new MeasureTable(
                        "Latency without faults",
                        List.of("call", "p50 ms", "p99 ms"),
                        List.of(row("read", latency.reads()), row("write", latency.writes()))));
        report.figure("readMillisP50", latency.reads().p50Millis());
        report.figure("readMillisP99", latency.reads().p99Millis());
        report.figure("writeMillisP50", latency.writes().p50Millis());
        report.figure("writeMillisP99", latency.writes().p99Millis());
    }

    private static List<String> row(String call, CallLatency.Quantiles quantiles) {
        return List.of(
                call,
                String.format(Locale.ROOT, "%.2f", quantiles.p50Millis()),
                String.format(Locale.ROOT, "%.2f", quantiles.p99Millis()));
    }

    private static void addOutages(
            MeasureReport report, Map<PlatformCallDisposition, OutageRun.Result> outages) {
        List<List<String>> rows = new ArrayList<>();
        long maximumCalls = 0;
        long longestRecoveryMillis = 0;
        for (Map.Entry<PlatformCallDisposition, OutageRun.Result> each : outages.entrySet()) {
            OutageRun.Result result = each.getValue();
            maximumCalls = Math.max(maximumCalls, result.platformCalls());
            longestRecoveryMillis = Math.max(longestRecoveryMillis, result.recoveryMillis());
            rows.add(
                    List.of(
                            each.getKey().name().toLowerCase(Locale.ROOT),
                            Integer.toString(result.requestedReads()),
                            Long.toString(result.platformCalls()),
                            Long.toString(result.slowestMillis()),
                            Long.toString(result.recoveryMillis())));
        }
        report.table(
                new MeasureTable(
                        "Outages of 5 s",
                        List.of(
                                "calls are",
                                "reads asked for",
                                "calls made",
                                "slowest failure, ms",
                                "first answer after it, ms"),
                        rows));
        report.figure("callsMadeInOutage", maximumCalls);
        report.figure("returnMillis", longestRecoveryMillis);
    }
}
