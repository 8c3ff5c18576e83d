package io.masticpond.core.limit;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Orders instances for a backend server, the nearest first, so that all who see the same instances
 * agree without messages.
 *
 * @since 0.2
 */
public final class OwnerOrder {

    private final Function<ZoneId, Optional<RegionId>> mRegions;

    /**
     * Makes an order.
     *
     * @param regions the region of each zone, as far as known
     */
    public OwnerOrder(Function<ZoneId, Optional<RegionId>> regions) {
        mRegions = Assert.notNull(regions, "The regions of zones");
    }

    /**
     * Gives the first instances of a server: those of its zone, then those of its region, then the
     * others, each by rendezvous hashing.
     *
     * @param server the server
     * @param candidates the instances
     * @param count how many are asked for
     * @return at most as many, the first choice first
     */
    public List<InstanceId> first(
            RegisteredServer server, Collection<OwnerCandidate> candidates, int count) {
        List<InstanceId> sameZone = new ArrayList<>();
        List<InstanceId> sameRegion = new ArrayList<>();
        List<InstanceId> others = new ArrayList<>();
        Optional<RegionId> region = mRegions.apply(server.zone());
        for (OwnerCandidate candidate : candidates) {
            if (candidate.zone().equals(server.zone())) {
                sameZone.add(candidate.id());
            } else if (region.isPresent() && region.equals(mRegions.apply(candidate.zone()))) {
                sameRegion.add(candidate.id());
            } else {
                others.add(candidate.id());
            }
        }
        String key = server.id().value();
        List<InstanceId> order = new ArrayList<>(Rendezvous.order(key, sameZone));
        for (List<InstanceId> further : List.of(sameRegion, others)) {
            if (order.size() < count) {
                order.addAll(Rendezvous.order(key, further));
            }
        }
        return order.subList(0, Math.min(count, order.size()));
    }
}
