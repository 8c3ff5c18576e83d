package io.masticpond.daemon.platform;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;

/**
 * Entry of the platform's list of instances, which may be out of date.
 *
 * @param id the instance id
 * @param zone its availability zone
 * @param linkAddress the address for links from other instances, as "ip:port"
 * @param leaving whether the platform is about to remove the instance
 * @since 0.1
 */
public record ListedInstance(InstanceId id, ZoneId zone, String linkAddress, boolean leaving) {}
