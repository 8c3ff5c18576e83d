package io.masticpond.core.lookup;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Decider that determines which instances a client should use: the nearest first, with clients
 * spread evenly over the instances of each zone.
 *
 * <p>Immutable and therefore thread-safe; create a new one when the configuration or the members
 * change. All instances with the same snapshot return the same answer to the same client. Answers
 * exclude instances that are leaving, suspect or dead, and those without a configuration while
 * others have one. Clients are spread over regions that are equally near. If there are live
 * instances in two availability zones, the answer contains instances of at least two, and of two
 * regions if its size permits.
 *
 * @since 0.1
 */
public final class LookupDecider {

    private final Configuration mConfiguration;
    private final ClientBlockTable mBlocks;
    private final ZoneId mOwnZone;
    private final LookupParameters mParameters;
    private final Map<ZoneId, RendezvousSelector> mMembers = new HashMap<>();
    private final Map<SiteId, ZoneId> mSites = new HashMap<>();
    private final Map<ZoneId, List<List<ZoneQuota>>> mQuotas = new HashMap<>();

    /**
     * Creates a decider for one snapshot of the system.
     *
     * @param configuration the configuration in force
     * @param blocks the table of its client blocks
     * @param members all known instances
     * @param ownZone the availability zone of this instance, used for clients without a known site
     * @param parameters the adjustable parameters
     */
    public LookupDecider(
            Configuration configuration,
            ClientBlockTable blocks,
            Collection<Member> members,
            ZoneId ownZone,
            LookupParameters parameters) {
        mConfiguration = Assert.notNull(configuration, "A configuration");
        mBlocks = Assert.notNull(blocks, "A table of client blocks");
        mOwnZone = Assert.notNull(ownZone, "An availability zone id");
        mParameters = Assert.notNull(parameters, "The parameters of look-ups");
        eligibleMembers(members).stream()
                .collect(Collectors.groupingBy(Member::zone))
                .forEach((zone, found) -> mMembers.put(zone, new RendezvousSelector(found)));
        for (SiteSpecification site : configuration.content().sites()) {
            mSites.put(site.id(), site.zone());
            mQuotas.computeIfAbsent(site.zone(), this::quotas);
        }
        mQuotas.computeIfAbsent(ownZone, this::quotas);
    }

    /**
     * Returns the live instances, without those that refuse every request for lack of a
     * configuration if others have one.
     */
    private static List<Member> eligibleMembers(Collection<Member> members) {
        List<Member> live = members.stream().filter(member -> member.state().canAdmit()).toList();
        List<Member> configured = live.stream().filter(Member::isConfigured).toList();
        return configured.isEmpty() ? live : configured;
    }

    /**
     * Computes one order for each other region, so that clients are spread over regions that are
     * equally near.
     */
    private List<List<ZoneQuota>> quotas(ZoneId nearest) {
        int rotations = Math.max(1, mConfiguration.content().regions().size() - 1);
        return IntStream.range(0, rotations)
                .mapToObj(rotation -> quotas(nearest, rotation))
                .toList();
    }

    private List<ZoneQuota> quotas(ZoneId nearest, int rotation) {
        List<ZoneId> zones = new ArrayList<>(ZoneOrder.from(mConfiguration, nearest, rotation));
        mMembers.keySet().stream()
                .filter(zone -> !zones.contains(zone))
                .sorted()
                .forEach(zones::add);
        zones.removeIf(zone -> !mMembers.containsKey(zone));
        return new ZoneQuotas(mParameters, mConfiguration, zones, zone -> mMembers.get(zone).size())
                .distribute();
    }

    /**
     * Decides which instances a client should use.
     *
     * @param client the client's address or block, or empty if unknown
     * @return the decision, which is without instances only if none is live
     */
    public LookupDecision decide(Optional<ClientBlock> client) {
        ZoneId nearest =
                client.flatMap(mBlocks::find)
                        .flatMap(site -> Optional.ofNullable(mSites.get(site)))
                        .orElse(mOwnZone);
        long key = client.map(RendezvousSelector::keyOf).orElse(0L);
        List<List<ZoneQuota>> rotations = mQuotas.get(nearest);
        List<ZoneQuota> quotas = rotations.get((int) Long.remainderUnsigned(key, rotations.size()));
        return new LookupDecision(
                choose(quotas, key), mParameters.cacheFor(), mConfiguration.version());
    }

    private List<Member> choose(List<ZoneQuota> quotas, long key) {
        List<Member> chosen = new ArrayList<>(mParameters.maximumInstances());
        for (ZoneQuota quota : quotas) {
            mMembers.get(quota.zone())
                    .addFirst(key, quota.cumulativeCount() - chosen.size(), chosen);
        }
        return chosen;
    }
}
