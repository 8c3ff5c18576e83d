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
 * Order of instances for a backend server, the nearest first. All instances with the same view of
 * the instances agree on it without communication.
 *
 * @since 0.2
 */
public final class OwnerOrder {

    private final Function<ZoneId, Optional<RegionId>> mRegions;

    /**
     * Creates an order.
     *
     * @param regions the region of each zone, as far as known
     */
    public OwnerOrder(Function<ZoneId, Optional<RegionId>> regions) {
        mRegions = Assert.notNull(regions, "The regions of zones");
    }

    /**
     * Returns the first instances for a server: those of its availability zone, then those of its
     * region, then the others, each group ordered by rendezvous hashing.
     *
     * @param server the server
     * @param candidates the instances
     * @param count the maximum number of instances to return
     * @return at most {@code count} instances, the preferred ones first
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
