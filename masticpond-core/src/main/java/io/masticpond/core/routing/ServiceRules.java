package io.masticpond.core.routing;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Rules that operators configure for the backend servers of a service.
 *
 * @param service the service
 * @param healthPath the path of the health check
 * @param maximumConnections the maximum number of connections that one server accepts from all
 *     instances together
 * @param warmUp the duration for which a server is cold after its start
 * @param warmUpRate the requests per second that a cold server can process from all instances
 *     together
 * @since 0.2
 */
public record ServiceRules(
        ServiceId service,
        String healthPath,
        int maximumConnections,
        Duration warmUp,
        double warmUpRate) {

    /** Validates the components. */
    public ServiceRules {
        Assert.notNull(service, "A service");
        Assert.hasText(healthPath, "A health path");
        Assert.positive(maximumConnections, "A maximum of connections");
        Assert.notNull(warmUp, "A warm-up time");
        Assert.isTrue(warmUpRate >= 0, "A warm-up rate must not be negative.");
    }
}
