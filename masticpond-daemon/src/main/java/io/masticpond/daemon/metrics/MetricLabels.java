package io.masticpond.daemon.metrics;

import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import java.util.List;

/** Labels that the metrics share, each with its own budget. Thread-safe. */
final class MetricLabels {

    static final String SERVICE = "service";
    static final String REGION = "region";

    private static final int MAXIMUM_SERVICES = 24;
    private static final int MAXIMUM_REGIONS = 8;

    private final LabelBudget mServices = new LabelBudget(MAXIMUM_SERVICES);
    private final LabelBudget mRegions = new LabelBudget(MAXIMUM_REGIONS);

    void allowNamesOf(ConfigurationContent content) {
        List<ServiceSpecification> services = content.services();
        mServices.allow(services.stream().map(service -> service.id().value()).toList());
        List<RegionSpecification> regions = content.regions();
        mRegions.allow(regions.stream().map(region -> region.id().value()).toList());
    }

    String service(ServiceId service) {
        return mServices.value(service.value());
    }

    String region(RegionId region) {
        return mRegions.value(region.value());
    }
}
