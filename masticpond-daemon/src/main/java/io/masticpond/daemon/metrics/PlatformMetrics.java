package io.masticpond.daemon.metrics;

import io.masticpond.daemon.platform.Breaker;
import io.masticpond.daemon.platform.PlatformCallKind;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.PlatformObserver;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * {@link PlatformObserver} that records metrics of the calls to the platform. Thread-safe.
 *
 * @since 0.1
 */
public final class PlatformMetrics implements PlatformObserver {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double[] LATENCY_BOUNDS_SECONDS = {0.002, 0.01, 0.05, 0.2, 1, 5};

    private final Counter mAttempts;
    private final Counter mResults;
    private final Histogram mSeconds;
    private final Gauge mBreakers;

    PlatformMetrics(PrometheusRegistry registry) {
        mAttempts =
                Counter.builder()
                        .name("masticpond_platform_attempts_total")
                        .help("Attempts to call the platform, each of which it counts as a call.")
                        .labelNames("kind")
                        .register(registry);
        mResults =
                Counter.builder()
                        .name("masticpond_platform_results_total")
                        .help("Calls to the platform by how they ended, retries included.")
                        .labelNames("kind", "result")
                        .register(registry);
        mSeconds =
                Histogram.builder()
                        .name("masticpond_platform_call_seconds")
                        .help("Time of calls to the platform with their retries, without watches.")
                        .classicOnly()
                        .classicUpperBounds(LATENCY_BOUNDS_SECONDS)
                        .register(registry);
        mBreakers =
                Gauge.builder()
                        .name("masticpond_platform_breaker_open")
                        .help("Whether calls to an address of the platform are stopped.")
                        .labelNames("address")
                        .register(registry);
    }

    @Override
    public void onAttempt(PlatformCallKind kind, String address) {
        mAttempts.labelValues(label(kind)).inc();
    }

    @Override
    public void onCallCompleted(PlatformCallKind kind, Optional<PlatformError> error, long nanos) {
        mResults.labelValues(label(kind), error.map(PlatformMetrics::label).orElse("ok")).inc();
        if (kind != PlatformCallKind.WATCH) {
            mSeconds.observe(nanos / NANOS_PER_SECOND);
        }
    }

    @Override
    public void onBreakerStateChanged(String address, Breaker.State state) {
        mBreakers.labelValues(address).set(state == Breaker.State.CLOSED ? 0 : 1);
    }

    private static String label(PlatformCallKind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private static String label(PlatformError error) {
        if (error instanceof PlatformError.OverBudget) {
            return "over-budget";
        }
        return error.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    }
}
