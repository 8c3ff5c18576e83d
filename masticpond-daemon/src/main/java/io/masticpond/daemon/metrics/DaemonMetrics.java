package io.masticpond.daemon.metrics;

import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Registry of all metrics of this process, grouped by the part of the system that records them.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class DaemonMetrics {

    private final PrometheusRegistry mRegistry = new PrometheusRegistry();
    private final MetricLabels mLabels = new MetricLabels();
    private final RequestMetrics mRequests;
    private final CapacityMetrics mCapacity;
    private final SpendingMetrics mSpending;
    private final ConfigurationMetrics mConfiguration;
    private final ControlMetrics mControl;
    private final PlatformMetrics mPlatform;

    /**
     * Creates new metrics, all at zero.
     *
     * @param timeSource the clock for the ages that the metrics report
     */
    public DaemonMetrics(TimeSource timeSource) {
        Assert.notNull(timeSource, "A time source");
        mRequests = new RequestMetrics(mRegistry, mLabels);
        mCapacity = new CapacityMetrics(mRegistry, mLabels);
        mSpending = new SpendingMetrics(mRegistry, mLabels);
        mConfiguration = new ConfigurationMetrics(mRegistry, timeSource);
        mControl = new ControlMetrics(mRegistry);
        mPlatform = new PlatformMetrics(mRegistry);
    }

    /**
     * Allows the names in a configuration as label values. Call this method when a configuration
     * comes into force.
     *
     * @param content the configuration
     */
    public void allowNamesOf(ConfigurationContent content) {
        mLabels.allowNamesOf(content);
    }

    /**
     * Returns the metrics of requests and their attempts.
     *
     * @return the metrics
     */
    public RequestMetrics requests() {
        return mRequests;
    }

    /**
     * Returns the metrics of slots and headroom.
     *
     * @return the metrics
     */
    public CapacityMetrics capacity() {
        return mCapacity;
    }

    /**
     * Returns the metrics of spending.
     *
     * @return the metrics
     */
    public SpendingMetrics spending() {
        return mSpending;
    }

    /**
     * Returns the metrics of the configuration.
     *
     * @return the metrics
     */
    public ConfigurationMetrics configuration() {
        return mConfiguration;
    }

    /**
     * Returns the metrics of the process itself and of the cost of control.
     *
     * @return the metrics
     */
    public ControlMetrics control() {
        return mControl;
    }

    /**
     * Returns the metrics of calls to the platform.
     *
     * @return the metrics
     */
    public PlatformMetrics platform() {
        return mPlatform;
    }

    /**
     * Returns the registry, for the route that exposes it.
     *
     * @return the registry
     */
    PrometheusRegistry registry() {
        return mRegistry;
    }
}
