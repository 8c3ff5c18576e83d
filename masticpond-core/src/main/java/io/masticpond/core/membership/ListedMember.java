package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;

/**
 * Entry of the platform's list of instances, which may lag behind the actual state.
 *
 * @param id the instance
 * @param zone its availability zone
 * @param linkAddress the address at which other instances reach it, as "ip:port"
 * @param leaving whether the platform is about to remove the instance
 * @since 0.1
 */
public record ListedMember(InstanceId id, ZoneId zone, String linkAddress, boolean leaving) {}
