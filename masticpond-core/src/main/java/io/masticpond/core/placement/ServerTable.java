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
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Table of the backend servers of all services with their loads, updated from snapshots of the
 * fleet.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class ServerTable {

    /**
     * Time for which the runs of removed servers are kept. An entry that is lost in an outage of
     * the store is created again within this time.
     */
    private static final Duration FORMER_RUN_MEMORY = Duration.ofMinutes(2);

    private final ZoneId mOwnZone;
    private final Map<ZoneId, RegionId> mRegions;
    private final Map<BackendServerId, ServerLoad> mLoads = new HashMap<>();
    private final Map<Long, ServerLoad> mByHash = new HashMap<>();
    private final Map<BackendServerId, FormerRun> mFormerRuns = new HashMap<>();
    private Map<ServiceId, List<ServerLoad>> mServices = Map.of();
    private Set<ZoneId> mEvacuated = Set.of();

    /**
     * Creates an empty table.
     *
     * @param ownZone the availability zone of this instance
     * @param regions the region of each zone
     */
    public ServerTable(ZoneId ownZone, Map<ZoneId, RegionId> regions) {
        mOwnZone = Assert.notNull(ownZone, "The own zone");
        mRegions = Map.copyOf(regions);
        Assert.isTrue(mRegions.containsKey(ownZone), "The region of %s must be given.", ownZone);
    }

    /**
     * Applies a new snapshot.
     *
     * @param snapshot the snapshot
     * @param nowNanos the current monotonic time
     * @return the servers that were removed or have restarted since the previous snapshot
     */
    public List<RegisteredServer> update(FleetSnapshot snapshot, long nowNanos) {
        mFormerRuns.values().removeIf(each -> each.isForgotten(nowNanos));
        List<RegisteredServer> removed = removeTerminated(snapshot, nowNanos);
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
        markReturnedCold(snapshot, nowNanos);
        mServices = services;
        mByHash.clear();
        mLoads.values().forEach(load -> mByHash.put(load.hash(), load));
        mEvacuated = snapshot.evacuatedZones();
        return removed;
    }

    /**
     * Returns the servers of a service.
     *
     * @param service the service
     * @return all servers, whether usable or not
     */
    public List<ServerLoad> of(ServiceId service) {
        return mServices.getOrDefault(service, List.of());
    }

    /**
     * Returns the services that have registered servers.
     *
     * @return the services
     */
    public Set<ServiceId> services() {
        return Collections.unmodifiableSet(mServices.keySet());
    }

    /**
     * Returns the server with a hash of its id, which identifies it in reports of other instances.
     *
     * @param hash the hash
     * @return the server, or {@code null} if it is unknown
     */
    public ServerLoad byHash(long hash) {
        return mByHash.get(hash);
    }

    /**
     * Returns the run of a server to which the answer to a request belongs that was sent by another
     * instance.
     *
     * @param id the id of the server
     * @param sentNanos the monotonic time before which the request was certainly not sent
     * @return the run that was registered at that time, or the last one; empty if the server is not
     *     registered and was not in the last 2 minutes
     */
    public Optional<ServerLoad> lastKnown(BackendServerId id, long sentNanos) {
        ServerLoad load = mLoads.get(id);
        FormerRun former = mFormerRuns.get(id);
        if (former != null && (load == null || former.endNanos() - sentNanos > 0)) {
            return Optional.of(former.load());
        }
        return Optional.ofNullable(load);
    }

    /**
     * Determines whether no request may be sent to the servers of a zone.
     *
     * @param zone the zone
     * @return whether the zone is evacuated
     */
    public boolean isEvacuated(ZoneId zone) {
        return !mEvacuated.isEmpty() && mEvacuated.contains(zone);
    }

    /**
     * Returns the region of a server.
     *
     * @param server the server
     * @return its region, or empty if its zone is unknown
     */
    public Optional<RegionId> region(RegisteredServer server) {
        return Optional.ofNullable(mRegions.get(server.zone()));
    }

    private List<RegisteredServer> removeTerminated(FleetSnapshot snapshot, long nowNanos) {
        List<RegisteredServer> removed = new ArrayList<>();
        mLoads.values()
                .removeIf(
                        load -> {
                            RegisteredServer registered =
                                    snapshot.servers().get(load.server().id());
                            boolean isTerminated =
                                    registered == null || !registered.isSameRun(load.server());
                            if (isTerminated) {
                                load.markTerminated();
                                mFormerRuns.put(load.server().id(), new FormerRun(load, nowNanos));
                                removed.add(load.server());
                            }
                            return isTerminated;
                        });
        return removed;
    }

    /**
     * Marks the servers of zones that are no longer evacuated as cold, since they may be cold
     * before the registry states it.
     */
    private void markReturnedCold(FleetSnapshot snapshot, long nowNanos) {
        for (ZoneId zone : mEvacuated) {
            if (snapshot.evacuatedZones().contains(zone)) {
                continue;
            }
            for (ServerLoad load : mLoads.values()) {
                if (load.server().zone().equals(zone)) {
                    load.registration()
                            .coldUntil(nowNanos + warmUp(snapshot, load.server()).toNanos());
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
        boolean isSameRegion = region != null && region.equals(mRegions.get(mOwnZone));
        return isSameRegion ? Distance.SAME_REGION : Distance.OTHER_REGION;
    }

    /** Run of a server that was removed or has restarted, with the time at which this was known. */
    private record FormerRun(ServerLoad load, long endNanos) {

        boolean isForgotten(long nowNanos) {
            return nowNanos - endNanos > FORMER_RUN_MEMORY.toNanos();
        }
    }
}
