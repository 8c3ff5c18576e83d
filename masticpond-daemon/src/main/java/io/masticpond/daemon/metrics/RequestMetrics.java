package io.masticpond.daemon.metrics;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;

/**
 * Counts requests, refusals and attempts, and measures how long they took; safe for all threads.
 *
 * @since 0.1
 */
public final class RequestMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double[] LATENCY_BOUNDS = {
        0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5, 5, 10, 30
    };

    private final MetricLabels mLabels;
    private final Counter mLookups;
    private final Histogram mLatency;
    private final Histogram mAttemptLatency;
    private final Histogram mQueueWait;
    private final Counter mRefusals;
    private final Counter mAttempts;

    RequestMetrics(PrometheusRegistry registry, MetricLabels labels) {
        mLabels = labels;
        mLookups =
                Counter.builder()
                        .name("masticpond_lookups_total")
                        .help("Look-ups answered.")
                        .labelNames(MetricLabels.SERVICE)
                        .register(registry);
        mLatency =
                latency(
                        registry,
                        "masticpond_request_seconds",
                        "Time from the whole request to the whole answer, at the entry instance.",
                        MetricLabels.SERVICE);
        mAttemptLatency =
                latency(
                        registry,
                        "masticpond_attempt_seconds",
                        "Time from an attempt sent to a backend server to its whole answer.",
                        MetricLabels.SERVICE);
        mQueueWait =
                latency(
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
        mAttempts =
                Counter.builder()
                        .name("masticpond_further_attempts_total")
                        .help("Attempts after the first of a request.")
                        .labelNames(MetricLabels.SERVICE, "kind")
                        .register(registry);
    }

    /**
     * Counts a look-up.
     *
     * @param service the service asked for
     */
    public void recordLookup(ServiceId service) {
        mLookups.labelValues(mLabels.service(service)).inc();
    }

    /**
     * Measures a request that was answered.
     *
     * @param service the service
     * @param nanos from the whole request to the whole answer, in nanoseconds
     */
    public void recordAnswer(ServiceId service, long nanos) {
        mLatency.labelValues(mLabels.service(service)).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Measures an attempt that a backend server answered.
     *
     * @param service the service
     * @param nanos from the attempt sent to its whole answer, in nanoseconds
     */
    public void recordAttemptAnswer(ServiceId service, long nanos) {
        mAttemptLatency.labelValues(mLabels.service(service)).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Measures the wait of a request that got a slot.
     *
     * @param service the service
     * @param nanos from its offer to its slot, in nanoseconds
     */
    public void recordQueueWait(ServiceId service, long nanos) {
        mQueueWait.labelValues(mLabels.service(service)).observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Counts a request that was refused.
     *
     * @param service the service
     * @param refusal the refusal as the caller gets it
     */
    public void recordRefusal(ServiceId service, Refusal refusal) {
        mRefusals
                .labelValues(
                        mLabels.service(service), refusal.cause().text(), refusal.verdict().text())
                .inc();
    }

    /**
     * Counts an attempt after the first.
     *
     * @param service the service
     * @param kind why it was made
     */
    public void recordFurtherAttempt(ServiceId service, AttemptKind kind) {
        mAttempts.labelValues(mLabels.service(service), kind.label()).inc();
    }

    private static Histogram latency(
            PrometheusRegistry registry, String name, String help, String... labelNames) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(labelNames)
                .classicOnly()
                .classicUpperBounds(LATENCY_BOUNDS)
                .register(registry);
    }
}
