package io.masticpond.core.routing;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;

/**
 * Service that receives a share of a route's requests.
 *
 * @param service the service
 * @param weight its share relative to the sum of the route's weights, not negative
 * @since 0.2
 */
public record WeightedService(ServiceId service, int weight) {

    /** Validates the components. */
    public WeightedService {
        Assert.notNull(service, "A service");
        Assert.notNegative(weight, "A weight");
    }
}
