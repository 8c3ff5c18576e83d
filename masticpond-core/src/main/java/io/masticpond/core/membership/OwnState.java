package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * State that an instance reports about itself and that is fixed when it starts.
 *
 * @param incarnation this run of this instance
 * @param zone its availability zone
 * @param linkAddress the address at which other instances reach it, as "ip:port"
 * @param callerAddress the address at which callers reach it, as "ip:port"
 * @param operatorAddress the address at which operators reach it, as "ip:port"
 * @since 0.1
 */
public record OwnState(
        Incarnation incarnation,
        ZoneId zone,
        String linkAddress,
        String callerAddress,
        String operatorAddress) {

    /** Validates that all components are non-null. */
    public OwnState {
        Assert.notNull(incarnation, "An incarnation");
        Assert.notNull(zone, "An availability zone id");
        Assert.hasText(linkAddress, "A link address");
        Assert.notNull(callerAddress, "A caller address");
        Assert.notNull(operatorAddress, "An operator address");
    }

    /** Creates the update for one heartbeat. */
    MemberUpdate heartbeat(long sequence, boolean leaving, ConfigurationVersion configuration) {
        return new MemberUpdate(
                incarnation,
                sequence,
                zone,
                linkAddress,
                callerAddress,
                operatorAddress,
                leaving,
                configuration,
                MemberClaim.LIVE);
    }

    /** Creates the member that represents this instance in its own view. */
    Member member(boolean leaving, ConfigurationVersion configuration) {
        return new Member(
                incarnation,
                zone,
                linkAddress,
                callerAddress,
                operatorAddress,
                leaving ? MemberState.LEAVING : MemberState.LIVE,
                configuration);
    }
}
