package io.masticpond.daemon.metrics;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.time.TimeSource;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.TimeUnit;

/**
 * Metrics of the version and the age of the configuration in force. Thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TimeSource mTimeSource;
    private final Gauge mVersion;
    private volatile long mInForceSinceNanos;
    private volatile long mLastCheckNanos;

    ConfigurationMetrics(PrometheusRegistry registry, TimeSource timeSource) {
        mTimeSource = timeSource;
        mInForceSinceNanos = timeSource.monotonicNanos();
        mLastCheckNanos = mInForceSinceNanos;
        mVersion =
                Gauge.builder()
                        .name("masticpond_configuration_version")
                        .help("Version of the configuration in force, 0 before the first.")
                        .register(registry);
        GaugeWithCallback.builder()
                .name("masticpond_configuration_in_force_seconds")
                .help("Time since the configuration in force was taken.")
                .callback(callback -> callback.call(secondsSince(mInForceSinceNanos)))
                .register(registry);
        GaugeWithCallback.builder()
                .name("masticpond_configuration_age_seconds")
                .help("Time since the platform or a peer last said which version is the newest.")
                .callback(callback -> callback.call(secondsSince(mLastCheckNanos)))
                .register(registry);
    }

    /**
     * Records that a version has come into force now.
     *
     * @param version the version in force
     */
    public void updateVersion(ConfigurationVersion version) {
        mVersion.set((double) version.number());
        mInForceSinceNanos = mTimeSource.monotonicNanos();
        mLastCheckNanos = mInForceSinceNanos;
    }

    /** Records that the platform or a peer has just confirmed which version is the latest. */
    public void recordCheck() {
        mLastCheckNanos = mTimeSource.monotonicNanos();
    }

    private double secondsSince(long nanos) {
        return (mTimeSource.monotonicNanos() - nanos) / NANOS_PER_SECOND;
    }
}
