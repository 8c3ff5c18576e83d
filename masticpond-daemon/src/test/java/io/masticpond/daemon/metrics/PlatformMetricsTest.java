package io.masticpond.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.daemon.platform.Breaker;
import io.masticpond.daemon.platform.PlatformCallKind;
import io.masticpond.daemon.platform.PlatformError;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import net.jqwik.api.Example;

/** Tests of the metrics for uncertain writes, an exhausted budget and an open circuit breaker. */
class PlatformMetricsTest {

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final PlatformMetrics mMetrics = new PlatformMetrics(mRegistry);

    @Example
    void failuresAreCountedByKindAndCause() throws IOException {
        mMetrics.onAttempt(PlatformCallKind.WRITE, "10.0.0.1:80");
        end(PlatformCallKind.WRITE, new PlatformError.Uncertain("Lost."));
        end(PlatformCallKind.READ, new PlatformError.OverBudget("Too many."));
        mMetrics.onCallCompleted(PlatformCallKind.WATCH, Optional.empty(), 1);
        mMetrics.onBreakerStateChanged("10.0.0.1:80", Breaker.State.OPEN);
        assertThat(scrape())
                .contains("masticpond_platform_attempts_total{kind=\"write\"} 1.0")
                .contains("results_total{kind=\"write\",result=\"uncertain\"} 1.0")
                .contains("results_total{kind=\"read\",result=\"over-budget\"} 1.0")
                .contains("results_total{kind=\"watch\",result=\"ok\"} 1.0")
                .contains("masticpond_platform_call_seconds_count 2")
                .contains("masticpond_platform_breaker_open{address=\"10.0.0.1:80\"} 1.0");
    }

    private void end(PlatformCallKind kind, PlatformError error) {
        mMetrics.onCallCompleted(kind, Optional.of(error), 1);
    }

    private String scrape() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(bytes, mRegistry.scrape());
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
