package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;

/**
 * Specification of a service with its operations, backend servers, prices and spending caps.
 *
 * @param id the service
 * @param defaultDeadlineMillis the deadline in milliseconds of a request that specifies none
 * @param operations the operations; the first that matches a request applies
 * @param backendServers the backend servers
 * @param prices the prices of a request by region; a region without a price costs 0
 * @param spending the spending cap of each shift, or empty if spending is not limited
 * @since 0.1
 */
public record ServiceSpecification(
        ServiceId id,
        long defaultDeadlineMillis,
        List<OperationSpecification> operations,
        List<BackendServerSpecification> backendServers,
        List<PriceSpecification> prices,
        Optional<SpendingSpecification> spending) {

    /** Validates the components and copies the lists. */
    public ServiceSpecification {
        Assert.notNull(id, "A service id");
        Assert.positive(defaultDeadlineMillis, "A default deadline in milliseconds");
        operations = ConfigurationContent.copyOf(operations);
        backendServers = ConfigurationContent.copyOf(backendServers);
        prices = ConfigurationContent.copyOf(prices);
        spending = spending == null ? Optional.empty() : spending;
    }

    /**
     * Returns the operation of a request.
     *
     * @param method the HTTP method in capitals
     * @param path the path below the service, which starts with a slash
     * @return the first operation that matches, or empty if none does
     */
    public Optional<OperationSpecification> operation(String method, String path) {
        return operations.stream().filter(operation -> operation.matches(method, path)).findFirst();
    }

    /**
     * Returns the price of a request in a region.
     *
     * @param region the region
     * @return the price in millionths of the operators' currency unit
     */
    public long priceMicros(RegionId region) {
        return prices.stream()
                .filter(price -> price.region().equals(region))
                .mapToLong(PriceSpecification::requestMicros)
                .findFirst()
                .orElse(0);
    }
}
