package io.masticpond.command.client;

import java.util.List;

/**
 * Configuration in force, limited to the fields that the command line shows.
 *
 * @param version the configuration version
 * @param plan the id of the plan that produced this version, or {@code null} before the first plan
 * @param content the settings that operators have declared
 * @since 0.1
 */
public record ConfigurationAnswer(long version, String plan, Content content) {

    /** Replaces {@code null} content with empty content. */
    public ConfigurationAnswer {
        content = content == null ? new Content(null, null) : content;
    }

    /**
     * Settings that operators have declared.
     *
     * @param regions the regions
     * @param services the services
     */
    public record Content(List<Region> regions, List<Service> services) {

        /** Replaces {@code null} lists with empty ones. */
        public Content {
            regions = OperatorClient.orEmpty(regions);
            services = OperatorClient.orEmpty(services);
        }
    }

    /**
     * Region with its availability zones.
     *
     * @param id the id of the region
     * @param zones the availability zones of the region
     */
    public record Region(String id, List<String> zones) {

        /** Replaces a {@code null} list with an empty one. */
        public Region {
            zones = OperatorClient.orEmpty(zones);
        }
    }

    /**
     * Service with its operations and backend servers.
     *
     * @param id the id of the service
     * @param operations the operations of the service
     * @param backendServers the backend servers of the service
     */
    public record Service(
            String id, List<Operation> operations, List<BackendServer> backendServers) {

        /** Replaces {@code null} lists with empty ones. */
        public Service {
            operations = OperatorClient.orEmpty(operations);
            backendServers = OperatorClient.orEmpty(backendServers);
        }
    }

    /**
     * Operation of a service.
     *
     * @param name the name of the operation
     * @param kind the effect of repeating the operation
     */
    public record Operation(String name, String kind) {}

    /**
     * Backend server of a service.
     *
     * @param id the id of the backend server
     * @param zone the availability zone of the server
     * @param slots the number of slots of the server
     */
    public record BackendServer(String id, String zone, int slots) {}
}
