package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Update about a run of an instance, as sent from one instance to another.
 *
 * <p>All components except the claim were reported by the run itself in the heartbeat with this
 * sequence.
 *
 * @param incarnation the run
 * @param sequence the sequence number of its heartbeat, which increases within a run
 * @param zone its availability zone
 * @param linkAddress the address at which other instances reach it, as "ip:port"
 * @param callerAddress the address at which callers reach it, as "ip:port"
 * @param operatorAddress the address at which operators reach it, as "ip:port"
 * @param leaving whether it is stopping as planned
 * @param configuration the configuration version that it has in force
 * @param claim the claim of the reporting instance about it
 * @since 0.1
 */
public record MemberUpdate(
        Incarnation incarnation,
        long sequence,
        ZoneId zone,
        String linkAddress,
        String callerAddress,
        String operatorAddress,
        boolean leaving,
        ConfigurationVersion configuration,
        MemberClaim claim) {

    /** Validates that all components are non-null. */
    public MemberUpdate {
        Assert.notNull(incarnation, "An incarnation");
        Assert.notNegative(sequence, "A heartbeat sequence");
        Assert.notNull(zone, "An availability zone id");
        Assert.hasText(linkAddress, "A link address");
        Assert.notNull(callerAddress, "A caller address");
        Assert.notNull(operatorAddress, "An operator address");
        Assert.notNull(configuration, "A configuration version");
        Assert.notNull(claim, "A claim");
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
     * Determines whether this update supersedes another update of the same instance: the later run
     * prevails, then the later heartbeat, then the worse claim.
     *
     * @param other the other update
     * @return {@code true} if this update replaces the other
     */
    public boolean supersedes(MemberUpdate other) {
        if (incarnation.number() != other.incarnation.number()) {
            return incarnation.number() > other.incarnation.number();
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return claim.compareTo(other.claim) > 0;
    }

    /**
     * Determines whether this update is new to an instance that knows a run up to a heartbeat.
     *
     * @param known the run
     * @param knownSequence the sequence of the heartbeat
     * @return {@code true} if this update is of a later run or heartbeat, or claims that the run
     *     ended
     */
    boolean isNewerThan(Incarnation known, long knownSequence) {
        return incarnation.number() > known.number()
                || (incarnation.equals(known) && (sequence > knownSequence || claim.isEnd()));
    }

    /**
     * Returns a copy of this update with another claim.
     *
     * @param newClaim the claim
     * @return the update
     */
    public MemberUpdate withClaim(MemberClaim newClaim) {
        return new MemberUpdate(
                incarnation,
                sequence,
                zone,
                linkAddress,
                callerAddress,
                operatorAddress,
                leaving,
                configuration,
                newClaim);
    }
}
