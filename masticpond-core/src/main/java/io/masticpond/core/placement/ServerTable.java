package io.masticpond.core.placement;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The backend servers of all services with their loads, following the snapshot of the fleet.
 * Touched by one thread only.
 *
 * @since 0.2
 */
public final class ServerTable {

    private final ZoneId mOwnZone;
    private final Map<ZoneId, RegionId> mRegions;
    private final Map<BackendServerId, ServerLoad> mLoads = new HashMap<>();
    private final Map<Long, ServerLoad> mByHash = new HashMap<>();
    private Map<ServiceId, List<ServerLoad>> mServices = Map.of();
    private Set<ZoneId> mEvacuated = Set.of();

    /**
     * Starts with no servers.
     *
     * @param ownZone the zone of this instance
     * @param regions the region of each zone
     */
    public ServerTable(ZoneId ownZone, Map<ZoneId, RegionId> regions) {
        mOwnZone = Assert.notNull(ownZone, "The own zone");
        mRegions = Map.copyOf(regions);
        Assert.isTrue(mRegions.containsKey(ownZone), "The region of %s must be given.", ownZone);
    }

    /**
     * Takes a new snapshot.
     *
     * @param snapshot the snapshot
     * @param nowNanos the monotonic time
     * @return the servers that are gone, or that have started again since
     */
    public List<RegisteredServer> update(FleetSnapshot snapshot, long nowNanos) {
        List<RegisteredServer> gone = removeOver(snapshot);
        Map<ServiceId, List<ServerLoad>> services = new HashMap<>();
        for (RegisteredServer server : snapshot.servers().values()) {
            ServerLoad load = mLoads.get(server.id());
            if (load == null) {
                load = new ServerLoad(server, distance(server.zone()));
                mLoads.put(server.id(), load);
            } else {
                load.update(server, distance(server.zone()));
            }
            services.computeIfAbsent(server.service(), id -> new ArrayList<>()).add(load);
        }
        coolReturned(snapshot, nowNanos);
        mServices = services;
        mByHash.clear();
        mLoads.values().forEach(load -> mByHash.put(load.hash(), load));
        mEvacuated = snapshot.evacuatedZones();
        return gone;
    }

    /**
     * Gives the servers of a service.
     *
     * @param service the service
     * @return all of them, usable or not
     */
    public List<ServerLoad> of(ServiceId service) {
        return mServices.getOrDefault(service, List.of());
    }

    /**
     * Finds a server by the hash of its id, as other instances name it.
     *
     * @param hash the hash
     * @return the server, or null if it is unknown
     */
    public ServerLoad byHash(long hash) {
        return mByHash.get(hash);
    }

    /**
     * Tells whether nothing may be sent to a zone's servers.
     *
     * @param zone the zone
     * @return whether it is evacuated
     */
    public boolean isEvacuated(ZoneId zone) {
        return !mEvacuated.isEmpty() && mEvacuated.contains(zone);
    }

    /**
     * Gives the region of a server.
     *
     * @param server the server
     * @return its region, or empty if its zone is unknown
     */
    public Optional<RegionId> region(RegisteredServer server) {
        return Optional.ofNullable(mRegions.get(server.zone()));
    }

    private List<RegisteredServer> removeOver(FleetSnapshot snapshot) {
        List<RegisteredServer> gone = new ArrayList<>();
        mLoads.values()
                .removeIf(
                        load -> {
                            RegisteredServer now = snapshot.servers().get(load.server().id());
                            boolean over = now == null || !now.isSameRun(load.server());
                            if (over) {
                                load.markTerminated();
                                gone.add(load.server());
                            }
                            return over;
                        });
        return gone;
    }

    /** Servers of a zone that is taken back may be cold before the registry says so. */
    private void coolReturned(FleetSnapshot snapshot, long nowNanos) {
        for (ZoneId zone : mEvacuated) {
            if (snapshot.evacuatedZones().contains(zone)) {
                continue;
            }
            for (ServerLoad load : mLoads.values()) {
                if (load.server().zone().equals(zone)) {
                    load.coldUntil(nowNanos + warmUp(snapshot, load.server()).toNanos());
                }
            }
        }
    }

    private static Duration warmUp(FleetSnapshot snapshot, RegisteredServer server) {
        return snapshot.routing()
                .map(routing -> routing.services().get(server.service()))
                .map(ServiceRules::warmUp)
                .orElse(Duration.ZERO);
    }

    private Distance distance(ZoneId zone) {
        if (zone.equals(mOwnZone)) {
            return Distance.SAME_ZONE;
        }
        RegionId region = mRegions.get(zone);
        boolean near = region != null && region.equals(mRegions.get(mOwnZone));
        return near ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }
}
