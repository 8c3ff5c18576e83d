package io.masticpond.daemon.metrics;

import io.masticpond.core.id.ServiceId;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metrics of the spending of the current shift, in the operators' unit of money. Thread-safe.
 *
 * @since 0.1
 */
public final class SpendingMetrics {

    private static final double MICROS_PER_UNIT = 1e6;

    private final MetricLabels mLabels;
    private final Gauge mCap;
    private final Gauge mAllotted;
    private final Gauge mHeld;
    private final Gauge mForecast;
    private final Counter mCharged;

    SpendingMetrics(PrometheusRegistry registry, MetricLabels labels) {
        mLabels = labels;
        mCap = gauge(registry, "masticpond_spending_cap", "Cap of the current shift.");
        mAllotted =
                gauge(
                        registry,
                        "masticpond_spending_allotted",
                        "Sum of the allotments of the current shift, over all instances.");
        mHeld =
                gauge(
                        registry,
                        "masticpond_spending_held",
                        "What this instance may still spend from its allotments.");
        mForecast =
                gauge(
                        registry,
                        "masticpond_spending_forecast",
                        "Spending expected at the end of the current shift, over all instances.");
        mCharged =
                Counter.builder()
                        .name("masticpond_spending_charged_total")
                        .help("What this instance has charged less what it has refunded.")
                        .labelNames(MetricLabels.SERVICE)
                        .register(registry);
    }

    /**
     * Updates the metrics of the ledger of a service, as last read by this instance.
     *
     * @param service the service
     * @param capMicros the cap in millionths of the unit of money
     * @param allottedMicros the sum of the allotments in millionths of the unit of money
     * @param forecastMicros the spending expected at the end of the shift, in millionths of the
     *     unit of money
     */
    public void updateLedger(
            ServiceId service, long capMicros, long allottedMicros, long forecastMicros) {
        String label = mLabels.service(service);
        mCap.labelValues(label).set(capMicros / MICROS_PER_UNIT);
        mAllotted.labelValues(label).set(allottedMicros / MICROS_PER_UNIT);
        mForecast.labelValues(label).set(forecastMicros / MICROS_PER_UNIT);
    }

    /**
     * Updates the amount that this instance may still spend.
     *
     * @param service the service
     * @param heldMicros the remainder in millionths of the unit of money
     */
    public void updateHeld(ServiceId service, long heldMicros) {
        mHeld.labelValues(mLabels.service(service)).set(heldMicros / MICROS_PER_UNIT);
    }

    /**
     * Records a charge that will not be refunded.
     *
     * @param service the service
     * @param micros the amount in millionths of the unit of money, not negative
     */
    public void recordCharge(ServiceId service, long micros) {
        mCharged.labelValues(mLabels.service(service)).inc(micros / MICROS_PER_UNIT);
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder()
                .name(name)
                .help(help)
                .labelNames(MetricLabels.SERVICE)
                .register(registry);
    }
}
