package io.masticpond.entry.peer;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;

/**
 * State that an instance reports of itself.
 *
 * @param id its id, which a restart does not change
 * @param incarnation the number of its run, higher after each restart
 * @param zone its availability zone
 * @param region its region
 * @param entry the address at which it takes requests of clients
 * @param internal the address at which it receives heartbeats (UDP) and serves its peers (TCP)
 * @param ready whether it takes new clients; false while it starts and from a planned stop on
 * @param revision the revision of the platform's store that its snapshot is based on
 * @since 0.2
 */
public record PeerInstance(
        InstanceId id,
        long incarnation,
        ZoneId zone,
        RegionId region,
        ServerAddress entry,
        ServerAddress internal,
        boolean ready,
        long revision) {}
