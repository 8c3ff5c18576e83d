package io.masticpond.core.configuration;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Specification of a backend server of a service.
 *
 * @param id the backend server
 * @param zone its availability zone
 * @param address its address as "ip:port"
 * @param slots the maximum number of requests that it processes concurrently
 * @param connections the maximum number of connections that it accepts
 * @param leaving whether operators are draining it
 * @since 0.1
 */
public record BackendServerSpecification(
        BackendServerId id,
        ZoneId zone,
        String address,
        int slots,
        int connections,
        boolean leaving) {

    /** Validates the components. */
    public BackendServerSpecification {
        Assert.notNull(id, "A backend server id");
        Assert.notNull(zone, "An availability zone id");
        Assert.hasText(address, "The address of a backend server");
        Assert.positive(slots, "The slots of a backend server");
        Assert.positive(connections, "The connections of a backend server");
    }
}
