package io.masticpond.core.reachability;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;

/**
 * Instance to which requests can be forwarded.
 *
 * @param id its id
 * @param zone its availability zone
 * @param region its region
 * @since 0.3
 */
public record ForwardingPeer(InstanceId id, ZoneId zone, RegionId region) {}
