package io.masticpond.core.limit;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Instance that is a candidate for the ownership of cold backend servers.
 *
 * @param id the instance
 * @param zone its availability zone
 * @since 0.2
 */
public record OwnerCandidate(InstanceId id, ZoneId zone) {

    /** Validates that all components are given. */
    public OwnerCandidate {
        Assert.notNull(id, "An instance id");
        Assert.notNull(zone, "An availability zone id");
    }
}
