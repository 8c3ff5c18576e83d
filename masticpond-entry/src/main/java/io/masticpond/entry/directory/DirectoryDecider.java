package io.masticpond.entry.directory;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decider that selects the instances to which a client may connect. Safe for use by multiple
 * threads.
 *
 * <p>The answer names the ready instances of the client's availability zone. If these are too few
 * to lose one, it names those of the region; and those of other regions only while the client's
 * region has no instance that is ready and not suspect. A suspect instance, that is one that missed
 * heartbeats, is named only if its whole region is suspect, and then beside the instances of other
 * regions that are not: it may have terminated, and a client that gets no other address could not
 * connect; or it may be alive, and a client that still gets its address keeps its connections. A
 * client picks one address at random for each connection, so the instances of one answer share its
 * load evenly.
 *
 * <p>Naming the whole region would even out the load of zones whose numbers of clients per instance
 * differ. But with z zones it would send (z - 1) / z of all bytes between clients and instances
 * across zones, which cost more than anything else; therefore it is a setting, and off by default.
 *
 * @since 0.2
 */
public final class DirectoryDecider {

    private final DirectorySettings mSettings;
    private final PeerView mPeers;
    private final InstanceId mSelf;

    /**
     * Creates a decider that relies on heartbeats.
     *
     * @param settings how clients are distributed over instances
     * @param peers the live instances, including this one
     * @param self the id of this instance
     */
    public DirectoryDecider(DirectorySettings settings, PeerView peers, InstanceId self) {
        mSettings = settings;
        mPeers = peers;
        mSelf = self;
    }

    /**
     * Decides which addresses a client is given.
     *
     * @param region the client's region
     * @param zone the client's availability zone
     * @return the addresses, none if no instance is ready, and how long they may be kept
     */
    public DirectoryAnswer decide(RegionId region, ZoneId zone) {
        Set<InstanceId> suspects = mPeers.suspects();
        List<PeerInstance> healthy = new ArrayList<>();
        List<PeerInstance> suspect = new ArrayList<>();
        for (PeerInstance instance : mPeers.alive()) {
            if (instance.ready()) {
                (suspects.contains(instance.id()) ? suspect : healthy).add(instance);
            }
        }
        return answer(pick(region, zone, healthy, suspect));
    }

    private List<PeerInstance> pick(
            RegionId region, ZoneId zone, List<PeerInstance> healthy, List<PeerInstance> suspect) {
        List<PeerInstance> inRegion = ofRegion(region, healthy);
        if (inRegion.isEmpty() && !healthy.isEmpty()) {
            List<PeerInstance> named = new ArrayList<>(ofRegion(region, suspect));
            named.addAll(healthy);
            return named;
        }
        if (inRegion.isEmpty()) {
            inRegion = ofRegion(region, suspect);
        }
        if (inRegion.isEmpty()) {
            return suspect;
        }
        List<PeerInstance> inZone = inRegion.stream().filter(i -> i.zone().equals(zone)).toList();
        boolean isSufficient = inZone.size() >= mSettings.minimumInZone();
        return isSufficient && !mSettings.isRegionWide() ? inZone : inRegion;
    }

    private static List<PeerInstance> ofRegion(RegionId region, List<PeerInstance> instances) {
        return instances.stream().filter(i -> i.region().equals(region)).toList();
    }

    private DirectoryAnswer answer(List<PeerInstance> named) {
        List<PeerInstance> selected =
                named.size() > mSettings.maximumAddresses() ? truncate(named) : named;
        return new DirectoryAnswer(
                selected.stream().map(PeerInstance::entry).toList(), mSettings.timeToLive());
    }

    /**
     * Returns at most the maximum number of instances. The selection is the same each time, and
     * differs from that of other directories.
     */
    private List<PeerInstance> truncate(List<PeerInstance> named) {
        Map<InstanceId, PeerInstance> byId = new HashMap<>();
        named.forEach(instance -> byId.put(instance.id(), instance));
        return Rendezvous.order(mSelf.value(), byId.keySet()).stream()
                .limit(mSettings.maximumAddresses())
                .map(byId::get)
                .toList();
    }
}
