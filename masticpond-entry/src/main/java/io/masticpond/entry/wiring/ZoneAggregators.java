package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selection of the two instances of each availability zone that aggregate the reports of its
 * instances. All instances that see the same members select the same ones. For the control thread
 * only.
 */
final class ZoneAggregators {

    /** One aggregator may be down without having been detected. */
    private static final int AGGREGATORS = 2;

    private final PeerView mPeers;
    private final PeerInstance mSelf;
    private final String mPurpose;
    private List<PeerInstance> mAlive = List.of();
    private Map<ServerAddress, PeerInstance> mByAddress = Map.of();
    private Map<ZoneId, List<PeerInstance>> mAggregators = Map.of();
    private long mNextIndex;

    /**
     * Creates a selection.
     *
     * @param purpose a text that selects other instances than those of other purposes
     */
    ZoneAggregators(PeerView peers, PeerInstance self, String purpose) {
        mPeers = peers;
        mSelf = self;
        mPurpose = purpose;
    }

    /** Returns the live instance with an internal address, or {@code null} if there is none. */
    PeerInstance instance(ServerAddress address) {
        update();
        return mByAddress.get(address);
    }

    /** Returns the aggregators of the own zone in turn, or {@code null} if there is none. */
    PeerInstance next() {
        List<PeerInstance> own = own();
        return own.isEmpty() ? null : own.get((int) (mNextIndex++ % own.size()));
    }

    /** Determines whether this instance reports the sums of its zone to the other zones. */
    boolean isFirst() {
        List<PeerInstance> own = own();
        return !own.isEmpty() && own.get(0).id().equals(mSelf.id());
    }

    /** Returns the aggregators of all other zones. */
    List<PeerInstance> ofOtherZones() {
        update();
        List<PeerInstance> others = new ArrayList<>();
        mAggregators.forEach(
                (zone, aggregators) -> {
                    if (!zone.equals(mSelf.zone())) {
                        others.addAll(aggregators);
                    }
                });
        return others;
    }

    private List<PeerInstance> own() {
        update();
        return mAggregators.getOrDefault(mSelf.zone(), List.of());
    }

    /** Selects the aggregators anew if the instances that are alive have changed. */
    private void update() {
        List<PeerInstance> alive = mPeers.alive();
        if (alive == mAlive) {
            return;
        }
        mAlive = alive;
        mByAddress = new HashMap<>();
        Map<ZoneId, List<PeerInstance>> zones = new HashMap<>();
        for (PeerInstance each : alive) {
            mByAddress.put(each.internal(), each);
            zones.computeIfAbsent(each.zone(), zone -> new ArrayList<>()).add(each);
        }
        mAggregators = new HashMap<>();
        zones.forEach(
                (zone, members) ->
                        mAggregators.put(
                                zone,
                                PeerOrder.first(
                                        mPurpose + "/" + zone.value(), members, AGGREGATORS)));
    }
}
