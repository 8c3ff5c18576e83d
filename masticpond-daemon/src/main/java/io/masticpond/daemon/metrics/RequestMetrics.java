package io.masticpond.daemon.metrics;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;

/**
 * Metrics of the number and duration of requests, refusals and attempts. Thread-safe.
 *
 * @since 0.1
 */
public final class RequestMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double[] LATENCY_BOUNDS_SECONDS = {
        0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5, 10, 30
    };

    private final MetricLabels mLabels;
    private final Counter mLookups;
    private final Histogram mLatency;
    private final Histogram mAttemptLatency;
    private final Histogram mQueueWait;
    private final Counter mRefusals;
    private final Counter mFurtherAttempts;

    RequestMetrics(PrometheusRegistry registry, MetricLabels labels) {
        mLabels = labels;
        mLookups =
                Counter.builder()
                        .name("masticpond_lookups_total")
                        .help("Look-ups answered.")
                        .labelNames(MetricLabels.SERVICE)
                        .register(registry);
        mLatency =
                newLatencyHistogram(
                        registry,
                        "masticpond_request_seconds",
                        "Time from the whole request to the whole answer, at the entry instance.",
                        MetricLabels.SERVICE);
        mAttemptLatency =
                newLatencyHistogram(
                        registry,
                        "masticpond_attempt_seconds",
                        "Time from an attempt sent to a backend server to its whole answer.",
                        MetricLabels.SERVICE);
        mQueueWait =
                newLatencyHistogram(
                        registry,
                        "masticpond_queue_wait_seconds",
                        "Time that admitted requests waited for a slot, at the admitter.",
                        MetricLabels.SERVICE);
        mRefusals =
                Counter.builder()
                        .name("masticpond_refusals_total")
                        .help("Requests refused, by cause and by whether they ran.")
                        .labelNames(MetricLabels.SERVICE, "cause", "verdict")
                        .register(registry);
        mFurtherAttempts =
                Counter.builder()
                        .name("masticpond_further_attempts_total")
                        .help("Attempts after the first of a request.")
                        .labelNames(MetricLabels.SERVICE, "kind")
                        .register(registry);
    }

    /**
     * Records a look-up.
     *
     * @param service the requested service
     */
    public void recordLookup(ServiceId service) {
        mLookups.labelValues(mLabels.service(service)).inc();
    }

    /**
     * Records the duration of an answered request.
     *
     * @param service the service
     * @param nanos the time from the complete request to the complete answer, in nanoseconds
     */
    public void recordAnswer(ServiceId service, long nanos) {
        mLatency.labelValues(mLabels.service(service)).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Records the duration of an attempt that a backend server answered.
     *
     * @param service the service
     * @param nanos the time from sending the attempt to its complete answer, in nanoseconds
     */
    public void recordAttemptAnswer(ServiceId service, long nanos) {
        mAttemptLatency.labelValues(mLabels.service(service)).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Records the time for which a request waited for its slot.
     *
     * @param service the service
     * @param nanos the time from offering the request to assigning its slot, in nanoseconds
     */
    public void recordQueueWait(ServiceId service, long nanos) {
        mQueueWait.labelValues(mLabels.service(service)).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Records a refused request.
     *
     * @param service the service
     * @param refusal the refusal that the caller receives
     */
    public void recordRefusal(ServiceId service, Refusal refusal) {
        mRefusals
                .labelValues(
                        mLabels.service(service), refusal.cause().text(), refusal.verdict().text())
                .inc();
    }

    /**
     * Records an attempt after the first.
     *
     * @param service the service
     * @param kind the reason for the attempt
     */
    public void recordFurtherAttempt(ServiceId service, AttemptKind kind) {
        mFurtherAttempts.labelValues(mLabels.service(service), kind.label()).inc();
    }

    private static Histogram newLatencyHistogram(
            PrometheusRegistry registry, String name, String help, String... labelNames) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(labelNames)
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
                .register(registry);
    }
}
