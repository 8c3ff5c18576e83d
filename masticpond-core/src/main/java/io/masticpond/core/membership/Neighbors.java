package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Selection of the instances that exchange heartbeats. Instances that know the same members make
 * the same selection.
 *
 * <p>A small number of instances form a full mesh. A larger number form a graph of small degree:
 * each instance selects two others of its availability zone and one of another zone, and a pair
 * exchanges heartbeats if either selected the other. Random graphs like this stay connected and
 * have a diameter that grows with the logarithm of the members.
 */
final class Neighbors {

    /** Maximum number of members that form a full mesh. */
    static final int MAXIMUM_FULL_MESH_MEMBERS = 10;

    private static final int SELECTED_IN_ZONE = 2;

    private final Map<ZoneId, List<InstanceId>> mZones = new TreeMap<>();

    private Neighbors(Map<InstanceId, ZoneId> members) {
        members.forEach(
                (id, zone) -> mZones.computeIfAbsent(zone, key -> new ArrayList<>()).add(id));
    }

    /**
     * Selects the neighbors of one instance.
     *
     * @param self the instance
     * @param members all members that may be alive with their zones, including the instance itself
     * @return its neighbors, excluding the instance itself
     */
    static Set<InstanceId> of(InstanceId self, Map<InstanceId, ZoneId> members) {
        Set<InstanceId> found = new HashSet<>();
        if (members.size() <= MAXIMUM_FULL_MESH_MEMBERS) {
            found.addAll(members.keySet());
        } else {
            found.addAll(new Neighbors(members).neighborsOf(self, members.get(self)));
        }
        found.remove(self);
        return found;
    }

    private Set<InstanceId> neighborsOf(InstanceId self, ZoneId ownZone) {
        Set<InstanceId> found = new HashSet<>(selectInZone(self, ownZone));
        for (InstanceId other : mZones.get(ownZone)) {
            if (!other.equals(self) && selectInZone(other, ownZone).contains(self)) {
                found.add(other);
            }
        }
        mZones.forEach(
                (zone, others) -> addNeighborsOfOtherZone(self, ownZone, zone, others, found));
        selectInOtherZone(self, ownZone).ifPresent(found::add);
        return found;
    }

    private void addNeighborsOfOtherZone(
            InstanceId self,
            ZoneId ownZone,
            ZoneId zone,
            List<InstanceId> others,
            Set<InstanceId> found) {
        if (zone.equals(ownZone)) {
            return;
        }
        for (InstanceId other : others) {
            boolean selectsOwnZone = selectOtherZone(other, zone).equals(Optional.of(ownZone));
            if (selectsOwnZone
                    && highestWeight(other, mZones.get(ownZone), List.of()).equals(self)) {
                found.add(other);
            }
        }
    }

    private List<InstanceId> selectInZone(InstanceId from, ZoneId zone) {
        List<InstanceId> selected = new ArrayList<>(List.of(from));
        List<InstanceId> candidates = mZones.get(zone);
        while (selected.size() <= SELECTED_IN_ZONE && selected.size() < candidates.size()) {
            selected.add(highestWeight(from, candidates, selected));
        }
        return selected.subList(1, selected.size());
    }

    private Optional<InstanceId> selectInOtherZone(InstanceId from, ZoneId zone) {
        return selectOtherZone(from, zone)
                .map(other -> highestWeight(from, mZones.get(other), List.of()));
    }

    private Optional<ZoneId> selectOtherZone(InstanceId from, ZoneId zone) {
        ZoneId best = null;
        long bestWeight = 0;
        for (ZoneId candidate : mZones.keySet()) {
            long weight = Rendezvous.weight(from.value(), candidate.value());
            if (!candidate.equals(zone) && (best == null || weight > bestWeight)) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    private static InstanceId highestWeight(
            InstanceId from, List<InstanceId> candidates, List<InstanceId> excluded) {
        InstanceId best = null;
        long bestWeight = 0;
        for (InstanceId candidate : candidates) {
            long weight = Rendezvous.weight(from.value(), candidate.value());
            if (!excluded.contains(candidate) && (best == null || weight > bestWeight)) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return best;
    }
}
