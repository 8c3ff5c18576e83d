package io.masticpond.entry.replica;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;

/**
 * Instance of this availability zone that may watch the store on behalf of the others.
 *
 * @param id its id
 * @param address the address at which it serves its peers
 * @since 0.2
 */
public record RelayMember(InstanceId id, ServerAddress address) {

    /** Checks that no component is {@code null}. */
    public RelayMember {
        Assert.notNull(id, "An instance id");
        Assert.notNull(address, "An address");
    }
}
