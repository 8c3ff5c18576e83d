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
 * Strategy that determines which instances watch the platform and which instances are notified of a
 * new version. All instances that know the same members make the same decisions without exchanging
 * messages.
 *
 * <p>Two instances in each availability zone watch the platform. A watching instance notifies its
 * own availability zone and the watching instances of the other zones, so that a zone that is
 * partitioned from the platform also receives the version.
 *
 * @param self this instance
 * @param zone its availability zone
 * @since 0.1
 */
public record ConfigurationDistribution(InstanceId self, ZoneId zone) {

    /** The number of instances of an availability zone that watch the platform. */
    public static final int WATCHERS_PER_ZONE = 2;

    private static final String KEY = "configuration-watch";

    /** Validates the components. */
    public ConfigurationDistribution {
        Assert.notNull(self, "An instance id");
        Assert.notNull(zone, "An availability zone id");
    }

    /**
     * Determines whether this instance watches the platform.
     *
     * @param members the other instances as known to this instance
     * @return {@code true} if this instance watches the platform
     */
    public boolean isWatcher(Collection<Member> members) {
        return watchers(zone, members).contains(self);
    }

    /**
     * Returns the instances that this instance notifies of a new version.
     *
     * @param members the other instances as known to this instance
     * @param version the new version; instances that are known to have it are not notified
     * @return the instances, those of other availability zones last
     */
    public List<InstanceId> recipients(Collection<Member> members, ConfigurationVersion version) {
        List<InstanceId> recipients = new ArrayList<>();
        for (Member member : members) {
            if (member.zone().equals(zone) && isMissingVersion(member, version)) {
                recipients.add(member.id());
            }
        }
        Map<ZoneId, List<InstanceId>> watchersByZone = new HashMap<>();
        for (Member member : members) {
            if (!member.zone().equals(zone)
                    && isMissingVersion(member, version)
                    && watchersByZone
                            .computeIfAbsent(
                                    member.zone(), otherZone -> watchers(otherZone, members))
                            .contains(member.id())) {
                recipients.add(member.id());
            }
        }
        return recipients;
    }

    private boolean isMissingVersion(Member member, ConfigurationVersion version) {
        return !member.id().equals(self)
                && member.state().isReachable()
                && version.isAfter(member.configuration());
    }

    private List<InstanceId> watchers(ZoneId ofZone, Collection<Member> members) {
        TreeSet<InstanceId> candidates = new TreeSet<>();
        for (Member member : members) {
            if (member.zone().equals(ofZone) && member.state().canAdmit()) {
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
