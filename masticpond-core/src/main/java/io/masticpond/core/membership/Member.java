package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * What is known of one instance.
 *
 * @param incarnation the run of the instance
 * @param zone its availability zone
 * @param linkAddress where other instances reach it, as "ip:port"
 * @param callerAddress where callers reach it, as "ip:port"
 * @param operatorAddress where operators reach it, as "ip:port"
 * @param state the state
 * @param configuration the configuration version that it said it has in force
 * @since 0.1
 */
public record Member(
        Incarnation incarnation,
        ZoneId zone,
        String linkAddress,
        String callerAddress,
        String operatorAddress,
        MemberState state,
        ConfigurationVersion configuration) {

    /** Checks that all parts are given. */
    public Member {
        Assert.notNull(incarnation, "An incarnation");
        Assert.notNull(zone, "An availability zone id");
        Assert.hasText(linkAddress, "A link address");
        Assert.notNull(callerAddress, "A caller address");
        Assert.notNull(operatorAddress, "An operator address");
        Assert.notNull(state, "A member state");
        Assert.notNull(configuration, "A configuration version");
    }

    /**
     * Gives the instance without its incarnation.
     *
     * @return the instance
     */
    public InstanceId id() {
        return incarnation.instance();
    }

    /**
     * Tells whether the instance said that it has a configuration in force.
     *
     * @return whether it can take requests
     */
    public boolean isConfigured() {
        return configuration.isAfter(ConfigurationVersion.NONE);
    }
}
