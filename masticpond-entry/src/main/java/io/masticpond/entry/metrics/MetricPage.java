package io.masticpond.entry.metrics;

import io.masticpond.core.probe.ProbeResult;
import io.masticpond.entry.log.AttemptResult;
import io.masticpond.entry.log.LineCounts;
import io.masticpond.entry.log.LinePriority;
import io.masticpond.entry.log.RequestOutcome;
import io.masticpond.entry.log.RouteKind;
import io.masticpond.entry.replica.FeedError;
import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntToLongFunction;
import java.util.function.ToLongBiFunction;

/** Formatter of the metrics at one point in time. The only type that loads the metrics library. */
final class MetricPage {

    private static final String PREFIX = "masticpond_entry_";

    private final RequestCounts mRequests;
    private final StoreCallCounts mStoreCalls;
    private final ProbeCounts mProbes;
    private final LineCounts mLines;
    private final EntryValues mValues;
    private final MetricSnapshots.Builder mPage = MetricSnapshots.builder();
    private final Map<String, GaugeSnapshot.Builder> mGauges = new LinkedHashMap<>();

    MetricPage(
            RequestCounts requests,
            StoreCallCounts storeCalls,
            ProbeCounts probes,
            LineCounts lines,
            EntryValues values) {
        mRequests = requests;
        mStoreCalls = storeCalls;
        mProbes = probes;
        mLines = lines;
        mValues = values;
    }

    byte[] text() {
        addRequests();
        addFailures();
        addLatencies();
        addAttempts();
        addStoreCalls();
        addProbes();
        addLines();
        mValues.all().forEach(this::addValue);
        addRegionWeights();
        mGauges.values().forEach(gauge -> mPage.metricSnapshot(gauge.build()));
        mValues.ofServices().forEach(this::addServiceValues);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create()
                    .write(text, mPage.build(), EscapingScheme.UNDERSCORE_ESCAPING);
        } catch (IOException e) {
            throw new UncheckedIOException("The metrics could not be written.", e);
        }
        return text.toByteArray();
    }

    private void addRequests() {
        addByOutcome(
                counter("requests", "Requests that ended, by route and how."),
                "route",
                mRequests.routes(),
                RequestCounts.ROUTES,
                mRequests::requests);
        addByOutcome(
                counter("workspace_requests", "Requests with a key that ended, by workspace."),
                "workspace",
                mRequests.workspaces(),
                RequestCounts.WORKSPACES,
                mRequests::workspaceRequests);
    }

    private void addByOutcome(
            CounterSnapshot.Builder counter,
            String label,
            BoundedNames names,
            int othersNumber,
            ToLongBiFunction<Integer, RequestOutcome> count) {
        for (RequestOutcome outcome : RequestOutcome.values()) {
            addNamed(
                    counter,
                    label,
                    names,
                    othersNumber,
                    Labels.of("outcome", text(outcome)),
                    number -> count.applyAsLong(number, outcome));
        }
        mPage.metricSnapshot(counter.build());
    }

    private void addFailures() {
        CounterSnapshot.Builder counter =
                counter("failures", "Requests refused or given up, by kind of route and cause.");
        for (RouteKind kind : RouteKind.values()) {
            for (RequestOutcome outcome : RequestOutcome.values()) {
                addNamed(
                        counter,
                        "cause",
                        mRequests.causes(),
                        RequestCounts.CAUSES,
                        outcomeLabels(kind, outcome),
                        number -> mRequests.failures(number, kind, outcome));
            }
        }
        mPage.metricSnapshot(counter.build());
        CounterSnapshot.Builder retries = counter("retries", "Sends beyond the first.");
        addPoint(retries, Labels.EMPTY, mRequests.retries());
        mPage.metricSnapshot(retries.build());
    }

    private static Labels outcomeLabels(RouteKind kind, RequestOutcome outcome) {
        return Labels.of("kind", text(kind), "outcome", text(outcome));
    }

    private static void addNamed(
            CounterSnapshot.Builder counter,
            String label,
            BoundedNames names,
            int othersNumber,
            Labels additionalLabels,
            IntToLongFunction count) {
        for (Map.Entry<String, Integer> name : names.known().entrySet()) {
            addIfAny(
                    counter,
                    additionalLabels.add(label, name.getKey()),
                    count.applyAsLong(name.getValue()));
        }
        addIfAny(
                counter,
                additionalLabels.add(label, BoundedNames.OTHER),
                count.applyAsLong(othersNumber));
    }

    private static void addIfAny(CounterSnapshot.Builder counter, Labels labels, long count) {
        if (count > 0) {
            addPoint(counter, labels, count);
        }
    }

    private void addLatencies() {
        HistogramSnapshot.Builder requests =
                histogram(
                        "request_seconds",
                        "Time from a request to its end, by kind of route and how it ended.");
        for (RouteKind kind : RouteKind.values()) {
            for (RequestOutcome outcome : RequestOutcome.values()) {
                LatencyBuckets latency = mRequests.latency(kind, outcome);
                if (outcome != RequestOutcome.OPEN && !latency.isEmpty()) {
                    requests.dataPoint(point(outcomeLabels(kind, outcome), latency));
                }
            }
        }
        mPage.metricSnapshot(requests.build());
        HistogramSnapshot.Builder attempts =
                histogram("attempt_seconds", "Time from a send to the backend server's answer.");
        attempts.dataPoint(point(Labels.EMPTY, mRequests.attemptLatency()));
        mPage.metricSnapshot(attempts.build());
    }

    private void addAttempts() {
        CounterSnapshot.Builder counter = counter("attempts", "Sends to backend servers.");
        for (AttemptResult result : AttemptResult.values()) {
            addPoint(counter, Labels.of("result", text(result)), mRequests.attempts(result));
        }
        mPage.metricSnapshot(counter.build());
    }

    private void addStoreCalls() {
        CounterSnapshot.Builder counter = counter("store_calls", "Calls to the store that ended.");
        for (StoreCallCounts.Kind kind : StoreCallCounts.Kind.values()) {
            String name = text(kind);
            addPoint(
                    counter,
                    Labels.of("kind", name, "result", StoreCallCounts.DONE),
                    mStoreCalls.done(kind));
            for (FeedError error : FeedError.values()) {
                Labels labels = Labels.of("kind", name, "result", text(error));
                addPoint(counter, labels, mStoreCalls.failed(kind, error));
            }
        }
        mPage.metricSnapshot(counter.build());
    }

    private void addProbes() {
        CounterSnapshot.Builder counter =
                counter("probes", "Probes of backend servers for their load that ended.");
        for (ProbeResult result : ProbeResult.values()) {
            addPoint(counter, Labels.of("result", text(result)), mProbes.probes(result));
        }
        mPage.metricSnapshot(counter.build());
    }

    private void addLines() {
        CounterSnapshot.Builder written = counter("log_lines", "Log lines by what became of them.");
        addPoint(written, Labels.of("fate", "written"), mLines.written());
        addPoint(written, Labels.of("fate", "lost"), mLines.lost());
        for (LinePriority lineClass : LinePriority.values()) {
            Labels labels = Labels.of("fate", "left-out-" + text(lineClass));
            addPoint(written, labels, mLines.dropped(lineClass));
        }
        mPage.metricSnapshot(written.build());
    }

    private void addValue(EntryValue value, double number) {
        if (value.isTotal()) {
            CounterSnapshot.Builder counter = counter(value.metricName(), value.help());
            counter.dataPoint(
                    CounterSnapshot.CounterDataPointSnapshot.builder().value(number).build());
            mPage.metricSnapshot(counter.build());
            return;
        }
        String name = PREFIX + value.metricName();
        Labels labels =
                value.direction() == null
                        ? Labels.EMPTY
                        : Labels.of("direction", value.direction());
        mGauges.computeIfAbsent(name, key -> GaugeSnapshot.builder().name(key).help(value.help()))
                .dataPoint(
                        GaugeSnapshot.GaugeDataPointSnapshot.builder()
                                .labels(labels)
                                .value(number)
                                .build());
    }

    private void addRegionWeights() {
        if (mValues.regionWeights().isEmpty()) {
            return;
        }
        GaugeSnapshot.Builder gauge =
                GaugeSnapshot.builder()
                        .name(PREFIX + "region_weight")
                        .help("Factor of the servers of a region as homes of keys.");
        mValues.regionWeights()
                .forEach(
                        (labels, weight) ->
                                gauge.dataPoint(
                                        GaugeSnapshot.GaugeDataPointSnapshot.builder()
                                                .labels(
                                                        Labels.of(
                                                                "service",
                                                                labels.service(),
                                                                "region",
                                                                labels.region()))
                                                .value(weight)
                                                .build()));
        mPage.metricSnapshot(gauge.build());
    }

    private void addServiceValues(ServiceValue value, Map<String, Double> services) {
        if (value.isTotal()) {
            CounterSnapshot.Builder counter = counter(value.metricName(), value.help());
            services.forEach(
                    (service, number) ->
                            addPoint(counter, Labels.of("service", service), number.longValue()));
            mPage.metricSnapshot(counter.build());
            return;
        }
        GaugeSnapshot.Builder gauge =
                GaugeSnapshot.builder().name(PREFIX + value.metricName()).help(value.help());
        services.forEach(
                (service, number) ->
                        gauge.dataPoint(
                                GaugeSnapshot.GaugeDataPointSnapshot.builder()
                                        .labels(Labels.of("service", service))
                                        .value(number)
                                        .build()));
        mPage.metricSnapshot(gauge.build());
    }

    private static CounterSnapshot.Builder counter(String name, String help) {
        return CounterSnapshot.builder().name(PREFIX + name).help(help);
    }

    private static HistogramSnapshot.Builder histogram(String name, String help) {
        return HistogramSnapshot.builder().name(PREFIX + name).help(help);
    }

    private static void addPoint(CounterSnapshot.Builder counter, Labels labels, long count) {
        counter.dataPoint(
                CounterSnapshot.CounterDataPointSnapshot.builder()
                        .labels(labels)
                        .value((double) count)
                        .build());
    }

    private static HistogramSnapshot.HistogramDataPointSnapshot point(
            Labels labels, LatencyBuckets buckets) {
        return HistogramSnapshot.HistogramDataPointSnapshot.builder()
                .labels(labels)
                .classicHistogramBuckets(
                        ClassicHistogramBuckets.of(LatencyBuckets.bounds(), buckets.counts()))
                .sum(buckets.sum())
                .build();
    }

    private static String text(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
