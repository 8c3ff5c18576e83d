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
 * Decides which instances a client should use: the nearest first, spread evenly among each zone.
 *
 * <p>Immutable, and so safe for all threads; make a new one when configuration or members change.
 * All instances with the same snapshot give the same answer to the same client. Instances that are
 * leaving, suspect or dead are not named, nor those without a configuration while others have one.
 * Clients spread over regions that are equally near. If there are live instances in two
 * availability zones, the answer holds instances of at least two, and of two regions if there is
 * room.
 *
 * @since 0.1
 */
public final class LookupDecider {

    private final Configuration mConfiguration;
    private final ClientBlockTable mBlocks;
    private final ZoneId mOwnZone;
    private final LookupParameters mKnobs;
    private final Map<ZoneId, RendezvousSelector> mMembers = new HashMap<>();
    private final Map<SiteId, ZoneId> mSites = new HashMap<>();
    private final Map<ZoneId, List<List<ZoneQuota>>> mQuotas = new HashMap<>();

    /**
     * Makes a decider for one snapshot of the system.
     *
     * @param configuration the configuration in force
     * @param blocks the table of its client blocks
     * @param members all instances that are known
     * @param ownZone the availability zone of this instance, for clients of no known site
     * @param knobs the adjustable numbers
     */
    public LookupDecider(
            Configuration configuration,
            ClientBlockTable blocks,
            Collection<Member> members,
            ZoneId ownZone,
            LookupParameters knobs) {
        mConfiguration = Assert.notNull(configuration, "A configuration");
        mBlocks = Assert.notNull(blocks, "A table of client blocks");
        mOwnZone = Assert.notNull(ownZone, "An availability zone id");
        mKnobs = Assert.notNull(knobs, "The knobs of look-ups");
        nameable(members).stream()
                .collect(Collectors.groupingBy(Member::zone))
                .forEach((zone, found) -> mMembers.put(zone, new RendezvousSelector(found)));
        for (SiteSpecification site : configuration.content().sites()) {
            mSites.put(site.id(), site.zone());
            mQuotas.computeIfAbsent(site.zone(), this::quotas);
        }
        mQuotas.computeIfAbsent(ownZone, this::quotas);
    }

    /**
     * Leaves out instances that refuse every request, for want of a configuration, if others don't.
     */
    private static List<Member> nameable(Collection<Member> members) {
        List<Member> live = members.stream().filter(member -> member.state().admits()).toList();
        List<Member> configured = live.stream().filter(Member::isConfigured).toList();
        return configured.isEmpty() ? live : configured;
    }

    /** Makes one order for each other region, so that clients spread over those equally near. */
    private List<List<ZoneQuota>> quotas(ZoneId nearest) {
        int turns = Math.max(1, mConfiguration.content().regions().size() - 1);
        return IntStream.range(0, turns).mapToObj(turn -> quotas(nearest, turn)).toList();
    }

    private List<ZoneQuota> quotas(ZoneId nearest, int turn) {
        List<ZoneId> zones = new ArrayList<>(ZoneOrder.from(mConfiguration, nearest, turn));
        mMembers.keySet().stream()
                .filter(zone -> !zones.contains(zone))
                .sorted()
                .forEach(zones::add);
        zones.removeIf(zone -> !mMembers.containsKey(zone));
        return new ZoneQuotas(mKnobs, mConfiguration, zones, zone -> mMembers.get(zone).size())
                .share();
    }

    /**
     * Decides for a client.
     *
     * @param client the client's address or block, or empty if it is not known
     * @return the decision; it names no instance only if none is live
     */
    public LookupDecision decide(Optional<ClientBlock> client) {
        ZoneId nearest =
                client.flatMap(mBlocks::find)
                        .flatMap(site -> Optional.ofNullable(mSites.get(site)))
                        .orElse(mOwnZone);
        long key = client.map(RendezvousSelector::keyOf).orElse(0L);
        List<List<ZoneQuota>> turns = mQuotas.get(nearest);
        List<ZoneQuota> quotas = turns.get((int) Long.remainderUnsigned(key, turns.size()));
        return new LookupDecision(choose(quotas, key), mKnobs.cacheFor(), mConfiguration.version());
    }

    private List<Member> choose(List<ZoneQuota> quotas, long key) {
        List<Member> chosen = new ArrayList<>(mKnobs.maximumInstances());
        for (ZoneQuota quota : quotas) {
            mMembers.get(quota.zone()).addFirst(key, quota.upTo() - chosen.size(), chosen);
        }
        return chosen;
    }
}
