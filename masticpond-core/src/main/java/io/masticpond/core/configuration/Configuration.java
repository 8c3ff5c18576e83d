package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;

/**
 * Accepted configuration: everything that operators configure, under one version.
 *
 * <p>Immutable and therefore thread-safe.
 *
 * @param version the position of this configuration in the chain of versions
 * @param plan the confirmed plan from which it was written; empty only for {@link #EMPTY}
 * @param content the content as configured by operators
 * @since 0.1
 */
public record Configuration(
        ConfigurationVersion version, Optional<PlanId> plan, ConfigurationContent content) {

    /** The configuration before the first accepted one. */
    public static final Configuration EMPTY =
            new Configuration(
                    ConfigurationVersion.NONE, Optional.empty(), ConfigurationContent.EMPTY);

    /** Validates that all components are non-null. */
    public Configuration {
        Assert.notNull(version, "A configuration version");
        Assert.notNull(plan, "A plan id");
        Assert.notNull(content, "A configuration content");
    }

    /**
     * Returns the service with the given id.
     *
     * @param id the service
     * @return the service, or empty if no such service is configured
     */
    public Optional<ServiceSpecification> service(ServiceId id) {
        return content.services().stream().filter(service -> service.id().equals(id)).findFirst();
    }

    /**
     * Returns the region that contains an availability zone.
     *
     * @param zone the availability zone
     * @return the region, or empty if no such availability zone is configured
     */
    public Optional<RegionId> regionOf(ZoneId zone) {
        return content.regions().stream()
                .filter(region -> region.zones().contains(zone))
                .map(RegionSpecification::id)
                .findFirst();
    }

    /**
     * Returns the backend servers of a service in a region, in the configured order.
     *
     * @param service the service
     * @param region the region
     * @return the backend servers; empty if there are none
     */
    public List<BackendServerSpecification> backendServers(ServiceId service, RegionId region) {
        return service(service).stream()
                .flatMap(specification -> specification.backendServers().stream())
                .filter(server -> regionOf(server.zone()).filter(region::equals).isPresent())
                .toList();
    }
}
