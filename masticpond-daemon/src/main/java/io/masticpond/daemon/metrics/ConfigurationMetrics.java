package io.masticpond.daemon.metrics;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.time.TimeSource;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;

/**
 * Shows which configuration is in force and how old the news of it is; safe for all threads.
 *
 * @since 0.1
 */
public final class ConfigurationMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TimeSource mTimeSource;
    private final Gauge mVersion;
    private volatile long mInForceNanos;
    private volatile long mCheckedNanos;

    ConfigurationMetrics(PrometheusRegistry registry, TimeSource timeSource) {
        mTimeSource = timeSource;
        mInForceNanos = timeSource.monotonicNanos();
        mCheckedNanos = mInForceNanos;
        mVersion =
                Gauge.builder()
                        .name("masticpond_configuration_version")
                        .help("Version of the configuration in force, 0 before the first.")
                        .register(registry);
        GaugeWithCallback.builder()
                .name("masticpond_configuration_in_force_seconds")
                .help("Time since the configuration in force was taken.")
                .callback(callback -> callback.call(secondsSince(mInForceNanos)))
                .register(registry);
        GaugeWithCallback.builder()
                .name("masticpond_configuration_age_seconds")
                .help("Time since the platform or a peer last said which version is the newest.")
                .callback(callback -> callback.call(secondsSince(mCheckedNanos)))
                .register(registry);
    }

    /**
     * Shows a version that came in force now.
     *
     * @param version the version
     */
    public void updateVersion(ConfigurationVersion version) {
        mVersion.set((double) version.number());
        mInForceNanos = mTimeSource.monotonicNanos();
        mCheckedNanos = mInForceNanos;
    }

    /** Notes that the platform or a peer has just said which version is the newest. */
    public void recordCheck() {
        mCheckedNanos = mTimeSource.monotonicNanos();
    }

    private double secondsSince(long nanos) {
        return (mTimeSource.monotonicNanos() - nanos) / NANOS_PER_SECOND;
    }
}
