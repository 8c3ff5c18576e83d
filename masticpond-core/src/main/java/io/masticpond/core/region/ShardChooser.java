package io.masticpond.core.region;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.Shard;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Load balancer that chooses the shard of a region to which a request is sent.
 *
 * <p>Shards in the availability zone of this instance cost no distance; the others cost one round
 * trip between availability zones. The shard with the lowest sum of wait and distance is chosen,
 * then the one with the larger share of free slots; equal shards are used in rotation. A shard
 * without known headroom counts as free, since its admitter refuses requests that it cannot take.
 * Not thread-safe: confined to one thread.
 *
 * @since 0.1
 */
public final class ShardChooser {

    private final long mDistanceNanos;
    private int mNextOffset;

    /**
     * Creates a chooser.
     *
     * @param roundTrip the round-trip time to another availability zone of the region
     */
    public ShardChooser(Duration roundTrip) {
        mDistanceNanos = Assert.notNull(roundTrip, "A round trip").toNanos();
    }

    /**
     * Chooses a shard.
     *
     * @param shards the reachable shards, at least one
     * @param ownNumber the number of the shard in the availability zone of this instance, or -1
     * @param headrooms the latest headroom of each shard; a shard may be missing
     * @return the chosen shard
     */
    public Shard choose(List<Shard> shards, int ownNumber, Map<Shard, Headroom> headrooms) {
        Assert.notEmpty(shards, "The shards to choose from");
        int first = Math.floorMod(mNextOffset++, shards.size());
        Shard best = shards.get(first);
        for (int i = 1; i < shards.size(); i++) {
            Shard shard = shards.get((first + i) % shards.size());
            if (isBetter(shard, best, ownNumber, headrooms)) {
                best = shard;
            }
        }
        return best;
    }

    private boolean isBetter(
            Shard shard, Shard best, int ownNumber, Map<Shard, Headroom> headrooms) {
        long cost = cost(shard, ownNumber, headrooms);
        long bestCost = cost(best, ownNumber, headrooms);
        if (cost != bestCost) {
            return cost < bestCost;
        }
        return freeShare(headrooms.get(shard)) > freeShare(headrooms.get(best));
    }

    private long cost(Shard shard, int ownNumber, Map<Shard, Headroom> headrooms) {
        Headroom headroom = headrooms.get(shard);
        long wait = headroom == null ? 0 : headroom.expectedWaitNanos();
        long distance = shard.number() == ownNumber ? 0 : mDistanceNanos;
        return wait > Long.MAX_VALUE - distance ? Long.MAX_VALUE : wait + distance;
    }

    private static double freeShare(Headroom headroom) {
        if (headroom == null) {
            return 1;
        }
        return headroom.usableSlots() == 0
                ? 0
                : (double) headroom.freeSlots() / headroom.usableSlots();
    }
}
