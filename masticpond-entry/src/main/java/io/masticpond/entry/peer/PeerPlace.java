package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;

/**
 * Location and addresses of an instance, which do not change during one run.
 *
 * @param zone its availability zone
 * @param region its region
 * @param entry the address at which it takes requests of clients
 * @param internal the address at which it receives heartbeats
 * @since 0.2
 */
public record PeerPlace(ZoneId zone, RegionId region, ServerAddress entry, ServerAddress internal) {

    /**
     * Returns the place of an instance.
     *
     * @param instance the instance
     * @return its place
     */
    public static PeerPlace of(PeerInstance instance) {
        return new PeerPlace(
                instance.zone(), instance.region(), instance.entry(), instance.internal());
    }
}
