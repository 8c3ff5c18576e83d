package io.masticpond.testing.platform;

import io.masticpond.core.support.Assert;

/**
 * Entry of the list of instances.
 *
 * @param id id of the instance
 * @param zone availability zone of the instance
 * @param linkAddress address at which other instances reach it, as "ip:port"
 * @param leaving whether the platform is about to stop it
 * @since 0.1
 */
public record PlatformInstance(String id, String zone, String linkAddress, boolean leaving) {

    /** Validates the components. */
    public PlatformInstance {
        Assert.hasText(id, "The id of an instance");
        Assert.hasText(zone, "The zone of an instance");
        Assert.hasText(linkAddress, "The link address of an instance");
    }
}
