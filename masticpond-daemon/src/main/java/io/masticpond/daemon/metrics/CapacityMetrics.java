package io.masticpond.daemon.metrics;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Metrics of slots, headroom and the degradation step. Thread-safe.
 *
 * @since 0.1
 */
public final class CapacityMetrics {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final MetricLabels mLabels;
    private final Gauge mUsableSlots;
    private final Gauge mInFlight;
    private final Gauge mWaiting;
    private final Gauge mSlotUse;
    private final Gauge mExpectedWait;
    private final Gauge mDegradation;

    CapacityMetrics(PrometheusRegistry registry, MetricLabels labels) {
        mLabels = labels;
        mUsableSlots = gauge(registry, "masticpond_usable_slots", "Slots that may be used now.");
        mInFlight = gauge(registry, "masticpond_in_flight", "Requests at backend servers.");
        mWaiting = gauge(registry, "masticpond_waiting", "Requests that wait for a slot.");
        mSlotUse =
                gauge(
                        registry,
                        "masticpond_slot_use_ratio",
                        "Requests at backend servers over usable slots.");
        mExpectedWait =
                gauge(
                        registry,
                        "masticpond_expected_wait_seconds",
                        "How long a request offered now would wait for a slot.");
        mDegradation =
                gauge(
                        registry,
                        "masticpond_degradation_step",
                        "What decisions rest on: 0 exact, 1 widening, 2 stale, 3 fair share.");
    }

    /**
     * Updates the metrics of a service in a region.
     *
     * @param service the service
     * @param region the region
     * @param headroom the headroom, over all shards
     */
    public void updateHeadroom(ServiceId service, RegionId region, Headroom headroom) {
        String[] labels = labels(service, region);
        mUsableSlots.labelValues(labels).set(headroom.usableSlots());
        mInFlight.labelValues(labels).set(headroom.inFlight());
        mWaiting.labelValues(labels).set(headroom.waiting());
        mSlotUse.labelValues(labels).set(slotUse(headroom));
        mExpectedWait.labelValues(labels).set(expectedWaitSeconds(headroom));
        mDegradation.labelValues(labels).set(stepNumber(headroom.step()));
    }

    /**
     * Removes the metrics of a service in a region, for example after another instance has become
     * its admitter.
     *
     * @param service the service
     * @param region the region
     */
    public void remove(ServiceId service, RegionId region) {
        String[] labels = labels(service, region);
        for (Gauge gauge :
                List.of(mUsableSlots, mInFlight, mWaiting, mSlotUse, mExpectedWait, mDegradation)) {
            gauge.remove(labels);
        }
    }

    private String[] labels(ServiceId service, RegionId region) {
        return new String[] {mLabels.service(service), mLabels.region(region)};
    }

    private static double slotUse(Headroom headroom) {
        if (headroom.usableSlots() == 0) {
            return headroom.inFlight() == 0 ? 0 : Double.POSITIVE_INFINITY;
        }
        return (double) headroom.inFlight() / headroom.usableSlots();
    }

    private static double expectedWaitSeconds(Headroom headroom) {
        if (headroom.expectedWaitNanos() == Long.MAX_VALUE) {
            return Double.POSITIVE_INFINITY;
        }
        return headroom.expectedWaitNanos() / NANOS_PER_SECOND;
    }

    private static int stepNumber(DegradationStep step) {
        return switch (step) {
            case EXACT -> 0;
            case WIDENING -> 1;
            case STALE -> 2;
            case FAIR_SHARE -> 3;
        };
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder()
                .name(name)
                .help(help)
                .labelNames(MetricLabels.SERVICE, MetricLabels.REGION)
                .register(registry);
    }
}
