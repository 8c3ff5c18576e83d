package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.SiteId;
import java.util.List;

/**
 * Names of the entries that a change removes.
 *
 * @param regions the regions
 * @param links the links
 * @param services the services
 * @param sites the sites
 * @param clientBlocks the client blocks in CIDR notation
 * @since 0.1
 */
public record ConfigurationRemoval(
        List<RegionId> regions,
        List<LinkKey> links,
        List<ServiceId> services,
        List<SiteId> sites,
        List<String> clientBlocks) {

    /** The removal without any entries. */
    public static final ConfigurationRemoval NONE =
            new ConfigurationRemoval(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. A list that is {@code null} becomes an empty one. */
    public ConfigurationRemoval {
        regions = ConfigurationContent.copyOf(regions);
        links = ConfigurationContent.copyOf(links);
        services = ConfigurationContent.copyOf(services);
        sites = ConfigurationContent.copyOf(sites);
        clientBlocks = ConfigurationContent.copyOf(clientBlocks);
    }
}
