package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * What an instance states about itself at its start.
 *
 * @param incarnation this run of this instance
 * @param zone its availability zone
 * @param linkAddress where other instances reach it, as "ip:port"
 * @param callerAddress where callers reach it, as "ip:port"
 * @param operatorAddress where operators reach it, as "ip:port"
 * @since 0.1
 */
public record OwnState(
        Incarnation incarnation,
        ZoneId zone,
        String linkAddress,
        String callerAddress,
        String operatorAddress) {

    /** Checks that all parts are given. */
    public OwnState {
        Assert.notNull(incarnation, "An incarnation");
        Assert.notNull(zone, "An availability zone id");
        Assert.hasText(linkAddress, "A link address");
        Assert.notNull(callerAddress, "A caller address");
        Assert.notNull(operatorAddress, "An operator address");
    }

    /** Makes the news of one heartbeat. */
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

    /** Makes the member that this instance is in its own view. */
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
