package io.masticpond.core.configuration;

import java.util.List;

/**
 * Content of a configuration: regions, links, services, sites and client blocks.
 *
 * @param regions the regions with their availability zones
 * @param links the links between regions
 * @param services the services
 * @param sites the sites near clients, to which client blocks are assigned
 * @param clientBlocks the assignment of blocks of client addresses to sites
 * @since 0.1
 */
public record ConfigurationContent(
        List<RegionSpecification> regions,
        List<LinkSpecification> links,
        List<ServiceSpecification> services,
        List<SiteSpecification> sites,
        List<ClientBlockSpecification> clientBlocks) {

    /** The empty content. */
    public static final ConfigurationContent EMPTY =
            new ConfigurationContent(List.of(), List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. A list that is {@code null} becomes an empty one. */
    public ConfigurationContent {
        regions = copyOf(regions);
        links = copyOf(links);
        services = copyOf(services);
        sites = copyOf(sites);
        clientBlocks = copyOf(clientBlocks);
    }

    static <T> List<T> copyOf(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }
}
