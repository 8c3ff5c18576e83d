package io.masticpond.entry.replica;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Peer instance that can be queried for changes.
 *
 * @param address the address at which it serves its peers
 * @param zone its availability zone
 * @param region its region
 * @param revision the newest revision that it has reported
 * @since 0.2
 */
public record RelayPeer(ServerAddress address, ZoneId zone, RegionId region, long revision) {

    /** Checks that no component is {@code null}. */
    public RelayPeer {
        Assert.notNull(address, "An address");
        Assert.notNull(zone, "An availability zone");
        Assert.notNull(region, "A region");
    }
}
