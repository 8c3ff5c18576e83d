package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Says who watches the platform and who is told of a new version; all who see the same members
 * agree, without messages.
 *
 * <p>Two instances in each availability zone watch. One that watches tells its availability zone
 * and the watching instances of the others, so that a zone cut off from the platform hears of it.
 *
 * @param self this instance
 * @param zone its availability zone
 * @since 0.1
 */
public record ConfigurationDistribution(InstanceId self, ZoneId zone) {

    /** How many instances of an availability zone watch the platform. */
    public static final int WATCHERS_PER_ZONE = 2;

    private static final String KEY = "configuration-watch";

    /** Checks the parts. */
    public ConfigurationDistribution {
        Assert.notNull(self, "An instance id");
        Assert.notNull(zone, "An availability zone id");
    }

    /**
     * Tells whether this instance watches the platform.
     *
     * @param members the other instances as this one sees them
     * @return whether it does
     */
    public boolean isWatcher(Collection<Member> members) {
        return watchers(zone, members).contains(self);
    }

    /**
     * Lists who this instance tells of a new version.
     *
     * @param members the other instances as this one sees them
     * @param version the new version; who is known to have it is not told
     * @return the instances, those of other availability zones last
     */
    public List<InstanceId> recipients(Collection<Member> members, ConfigurationVersion version) {
        List<InstanceId> told = new ArrayList<>();
        for (Member member : members) {
            if (member.zone().equals(zone) && lacks(member, version)) {
                told.add(member.id());
            }
        }
        Map<ZoneId, List<InstanceId>> watching = new HashMap<>();
        for (Member member : members) {
            if (!member.zone().equals(zone)
                    && lacks(member, version)
                    && watching.computeIfAbsent(member.zone(), each -> watchers(each, members))
                            .contains(member.id())) {
                told.add(member.id());
            }
        }
        return told;
    }

    private boolean lacks(Member member, ConfigurationVersion version) {
        return !member.id().equals(self)
                && member.state().isReachable()
                && version.isAfter(member.configuration());
    }

    private List<InstanceId> watchers(ZoneId ofZone, Collection<Member> members) {
        TreeSet<InstanceId> candidates = new TreeSet<>();
        for (Member member : members) {
            if (member.zone().equals(ofZone) && member.state().admits()) {
                candidates.add(member.id());
            }
        }
        if (ofZone.equals(zone)) {
            candidates.add(self);
        }
        return Rendezvous.order(KEY + "/" + ofZone, candidates).stream()
                .limit(WATCHERS_PER_ZONE)
                .toList();
    }
}
