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
 * Immutable snapshot of a {@link MembershipTable}, safe for use by multiple threads.
 *
 * @param self this run of this instance
 * @param members all members including this instance, ordered by id
 * @param missing the members that may still be working although this instance cannot reach them
 * @param upToDate whether this instance considers its own view current
 * @param superseded whether a later run of this instance exists
 * @param regions the function that returns the region of an availability zone
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
     * Returns the view of one region.
     *
     * @param region the region
     * @return the view of the region
     */
    public RegionView region(RegionId region) {
        List<Member> ofRegion =
                members.stream()
                        .filter(member -> regions.apply(member.zone()).equals(Optional.of(region)))
                        .toList();
        return new RegionView(
                region,
                ofRegion.stream()
                        .filter(member -> member.state().canAdmit())
                        .map(Member::id)
                        .toList(),
                ofRegion.stream().map(Member::id).filter(missing::contains).toList(),
                upToDate);
    }

    /**
     * Returns the members of all regions that accept new work.
     *
     * @return the members, ordered by id
     */
    public List<Member> live() {
        return members.stream().filter(member -> member.state().canAdmit()).toList();
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
        List<InstanceId> ofRegion = region(shard.region()).admitting();
        List<InstanceId> candidates =
                ofRegion.isEmpty() ? live().stream().map(Member::id).toList() : ofRegion;
        return Rendezvous.order(shard.toString(), candidates);
    }
}
