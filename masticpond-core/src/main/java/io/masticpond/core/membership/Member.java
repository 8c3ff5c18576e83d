package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Immutable snapshot of what this instance knows of one instance.
 *
 * @param incarnation the run of the instance
 * @param zone its availability zone
 * @param linkAddress the address at which other instances reach it, as "ip:port"
 * @param callerAddress the address at which callers reach it, as "ip:port"
 * @param operatorAddress the address at which operators reach it, as "ip:port"
 * @param state the state
 * @param configuration the configuration version that the instance last reported as in force
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

    /** Validates that all components are non-null. */
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
     * Returns the id of the instance, without its incarnation.
     *
     * @return the instance id
     */
    public InstanceId id() {
        return incarnation.instance();
    }

    /**
     * Determines whether the instance has reported a configuration as in force.
     *
     * @return {@code true} if it can accept requests
     */
    public boolean isConfigured() {
        return configuration.isAfter(ConfigurationVersion.NONE);
    }
}
