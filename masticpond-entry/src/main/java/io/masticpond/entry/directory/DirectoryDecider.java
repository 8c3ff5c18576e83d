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
 * Decides which instances a client may connect to. Safe for all threads.
 *
 * <p>The ready instances of the client's availability zone are named; where these are too few to
 * lose one, those of its region; and those of other regions only while none of its region is ready
 * and in no doubt. An instance that missed heartbeats is named only where its whole region did, and
 * then beside the sound ones of other regions: it may be dead, and a client that is told of nothing
 * else has nowhere to go; it may live, and a client that is told of it keeps its connections. A
 * client picks one at random for each connection, so instances of one answer share its load evenly.
 *
 * <p>Naming the whole region would even out zones with unlike numbers of clients for each instance,
 * but of z zones it sends (z - 1) / z of all bytes between clients and instances across zones,
 * which cost more than anything else; so it is a setting, and off.
 *
 * @since 0.2
 */
public final class DirectoryDecider {

    private final DirectorySettings mSettings;
    private final PeerView mPeers;
    private final InstanceId mSelf;

    /**
     * Decides by what heartbeats tell.
     *
     * @param settings how clients are spread
     * @param peers who is alive, this instance included
     * @param self this instance
     */
    public DirectoryDecider(DirectorySettings settings, PeerView peers, InstanceId self) {
        mSettings = settings;
        mPeers = peers;
        mSelf = self;
    }

    /**
     * Decides for a client.
     *
     * @param region the client's region
     * @param zone the client's availability zone
     * @return the addresses, none if no instance is ready, and how long they may be kept
     */
    public DirectoryAnswer decide(RegionId region, ZoneId zone) {
        Set<InstanceId> suspects = mPeers.suspects();
        List<PeerInstance> sound = new ArrayList<>();
        List<PeerInstance> doubtful = new ArrayList<>();
        for (PeerInstance instance : mPeers.alive()) {
            if (instance.ready()) {
                (suspects.contains(instance.id()) ? doubtful : sound).add(instance);
            }
        }
        return answer(pick(region, zone, sound, doubtful));
    }

    private List<PeerInstance> pick(
            RegionId region, ZoneId zone, List<PeerInstance> sound, List<PeerInstance> doubtful) {
        List<PeerInstance> near = ofRegion(region, sound);
        if (near.isEmpty() && !sound.isEmpty()) {
            List<PeerInstance> named = new ArrayList<>(ofRegion(region, doubtful));
            named.addAll(sound);
            return named;
        }
        if (near.isEmpty()) {
            near = ofRegion(region, doubtful);
        }
        if (near.isEmpty()) {
            return doubtful;
        }
        List<PeerInstance> own = near.stream().filter(i -> i.zone().equals(zone)).toList();
        boolean suffices = own.size() >= mSettings.minimumInZone();
        return suffices && !mSettings.isRegionWide() ? own : near;
    }

    private static List<PeerInstance> ofRegion(RegionId region, List<PeerInstance> instances) {
        return instances.stream().filter(i -> i.region().equals(region)).toList();
    }

    private DirectoryAnswer answer(List<PeerInstance> named) {
        List<PeerInstance> kept = named.size() > mSettings.maximumAddresses() ? cut(named) : named;
        return new DirectoryAnswer(
                kept.stream().map(PeerInstance::entry).toList(), mSettings.timeToLive());
    }

    /** Leaves out the same ones each time, and other ones than other directories do. */
    private List<PeerInstance> cut(List<PeerInstance> named) {
        Map<InstanceId, PeerInstance> byId = new HashMap<>();
        named.forEach(instance -> byId.put(instance.id(), instance));
        return Rendezvous.order(mSelf.value(), byId.keySet()).stream()
                .limit(mSettings.maximumAddresses())
                .map(byId::get)
                .toList();
    }
}
