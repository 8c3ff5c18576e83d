package io.masticpond.core.membership;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * What a {@link MembershipTable} knew at one moment; immutable, and so safe for all threads.
 *
 * @param self this run of this instance
 * @param members all members, this instance among them, in the order of ids
 * @param missing the members that may be at work out of sight
 * @param upToDate whether this instance trusts its own view
 * @param superseded whether a later run of this instance exists
 * @param regions gives the region of an availability zone
 * @since 0.1
 */
public record MembershipView(
        Incarnation self,
        List<Member> members,
        Set<InstanceId> missing,
        boolean upToDate,
        boolean superseded,
        Function<ZoneId, Optional<RegionId>> regions)
        implements Admitters {

    /** Copies the collections. */
    public MembershipView {
        Assert.notNull(self, "An incarnation");
        members = List.copyOf(members);
        missing = Set.copyOf(missing);
        Assert.notNull(regions, "The regions of availability zones");
    }

    /**
     * Gives what is seen of a region.
     *
     * @param region the region
     * @return the view of the region
     */
    public RegionView region(RegionId region) {
        List<Member> near =
                members.stream()
                        .filter(member -> regions.apply(member.zone()).equals(Optional.of(region)))
                        .toList();
        return new RegionView(
                region,
                near.stream().filter(member -> member.state().admits()).map(Member::id).toList(),
                near.stream().map(Member::id).filter(missing::contains).toList(),
                upToDate);
    }

    /**
     * Gives the members that take new work, of all regions.
     *
     * @return the members in the order of ids
     */
    public List<Member> live() {
        return members.stream().filter(member -> member.state().admits()).toList();
    }

    /**
     * Finds a member.
     *
     * @param id the instance
     * @return the member, or empty if none is known
     */
    public Optional<Member> member(InstanceId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    @Override
    public List<InstanceId> order(Shard shard) {
        List<InstanceId> near = region(shard.region()).admitting();
        List<InstanceId> candidates =
                near.isEmpty() ? live().stream().map(Member::id).toList() : near;
        return Rendezvous.order(shard.toString(), candidates);
    }
}
