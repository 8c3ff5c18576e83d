package io.masticpond.entry.metrics;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collector of the values for one scrape, which are set by the components that maintain them.
 *
 * @since 0.2
 */
public final class EntryValues {

    /** Maximum number of services with a label of their own. */
    private static final int SERVICES = 24;

    private final Map<EntryValue, Double> mValues = new EnumMap<>(EntryValue.class);

    private final Map<ServiceValue, Map<String, Double>> mServiceValues =
            new EnumMap<>(ServiceValue.class);
    private final Map<Labels, Double> mRegionWeights = new HashMap<>();
    private final BoundedNames mServices;
    private final BoundedNames mRegions;

    /** Labels of the weight of a region. */
    record Labels(String service, String region) {}

    EntryValues(BoundedNames services, BoundedNames regions) {
        mServices = services;
        mRegions = regions;
    }

    /**
     * Sets the weight of a region. Of those that share a label, the lowest is shown.
     *
     * @param service the service
     * @param region the region
     * @param weight the factor of its servers
     */
    public void setRegionWeight(ServiceId service, RegionId region, double weight) {
        Labels labels =
                new Labels(mServices.label(service.value()), mRegions.label(region.value()));
        mRegionWeights.merge(labels, weight, Math::min);
    }

    /** Returns the weights of regions that were set. */
    Map<Labels, Double> regionWeights() {
        return mRegionWeights;
    }

    /**
     * Sets a value of a service. The values of services beyond the maximum number of labels are
     * shown as one, which is their sum.
     *
     * @param value the metric
     * @param service the service
     * @param number the value
     */
    public void set(ServiceValue value, ServiceId service, double number) {
        Map<String, Double> services =
                mServiceValues.computeIfAbsent(value, each -> new TreeMap<>());
        boolean isNamed = services.containsKey(service.value()) || services.size() < SERVICES;
        services.merge(isNamed ? service.value() : BoundedNames.OTHER, number, Double::sum);
    }

    /** Returns the values of services by name. */
    Map<ServiceValue, Map<String, Double>> ofServices() {
        return mServiceValues;
    }

    /**
     * Sets a value. A metric without a value is not shown.
     *
     * @param value the metric
     * @param number the value
     */
    public void set(EntryValue value, double number) {
        mValues.put(value, number);
    }

    /**
     * Sets an integral value. A metric without a value is not shown.
     *
     * @param value the metric
     * @param number the value
     */
    public void set(EntryValue value, long number) {
        mValues.put(value, (double) number);
    }

    /** Returns the values that were set. */
    Map<EntryValue, Double> all() {
        return mValues;
    }
}
