package io.masticpond.core.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * What one instance tells another about a run of an instance.
 *
 * <p>Everything but the claim was stated by the run itself in the heartbeat with this sequence.
 *
 * @param incarnation the run
 * @param sequence the number of its heartbeat, which grows within a run
 * @param zone its availability zone
 * @param linkAddress where other instances reach it, as "ip:port"
 * @param callerAddress where callers reach it, as "ip:port"
 * @param operatorAddress where operators reach it, as "ip:port"
 * @param leaving whether it stops as planned
 * @param configuration the configuration version that it has in force
 * @param claim what the teller says about it
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

    /** Checks that all parts are given. */
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
     * Gives the instance without its incarnation.
     *
     * @return the instance
     */
    public InstanceId id() {
        return incarnation.instance();
    }

    /**
     * Tells whether this is newer than other news of the same instance: a later run, then a later
     * heartbeat, then the worse claim.
     *
     * @param other the other news
     * @return whether this takes its place
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
     * Tells whether this is worth telling to one who knows of a run up to a heartbeat.
     *
     * @param known the run
     * @param knownSequence the heartbeat
     * @return whether this is of a later run or heartbeat, or says that the run ended
     */
    boolean isNewerThan(Incarnation known, long knownSequence) {
        return incarnation.number() > known.number()
                || (incarnation.equals(known) && (sequence > knownSequence || claim.isEnd()));
    }

    /**
     * Gives the same news with another claim.
     *
     * @param newClaim the claim
     * @return the news
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
