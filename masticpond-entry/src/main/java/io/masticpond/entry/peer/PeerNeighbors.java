package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Utility methods that select the instances that exchange heartbeats with each other, such that all
 * instances with the same members agree.
 *
 * <p>A small fleet is a full mesh. In a larger fleet the instances form a ring, in an order that is
 * unrelated to their places, and each selects those 1, 3, 9, ... steps away on both sides: these
 * are few for each instance, and updates reach all in a few hops.
 */
final class PeerNeighbors {

    /** Maximum number of other instances up to which all are neighbors. */
    static final int FULL_MESH = 16;

    private static final int STEP_FACTOR = 3;
    private static final int HASH_MULTIPLIER = 0x9e3779b9;

    private PeerNeighbors() {}

    /** Returns the neighbors of an instance among others. */
    static Set<InstanceId> of(InstanceId self, Collection<InstanceId> others) {
        Set<InstanceId> neighbors = new HashSet<>();
        if (others.size() <= FULL_MESH) {
            neighbors.addAll(others);
            return neighbors;
        }
        List<InstanceId> ring = new ArrayList<>(others);
        ring.add(self);
        ring.sort(
                Comparator.comparingInt(PeerNeighbors::position)
                        .thenComparing(Comparator.naturalOrder()));
        int index = ring.indexOf(self);
        int size = ring.size();
        for (int step = 1; step <= size / 2; step *= STEP_FACTOR) {
            neighbors.add(ring.get((index + step) % size));
            neighbors.add(ring.get((index - step + size) % size));
        }
        return neighbors;
    }

    private static int position(InstanceId id) {
        int mixed = id.value().hashCode() * HASH_MULTIPLIER;
        return (mixed ^ (mixed >>> 15)) * HASH_MULTIPLIER;
    }
}
