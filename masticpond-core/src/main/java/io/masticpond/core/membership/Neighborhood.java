package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Neighbors of this instance, selected anew when members join or terminate.
 *
 * <p>A member that was declared dead because it was unresponsive remains a neighbor: it may be on
 * the other side of a network partition, and the heartbeats sent to it detect the end of the
 * partition.
 */
final class Neighborhood {

    private final InstanceId mSelf;
    private final ZoneId mZone;
    private Set<InstanceId> mNeighbors = Set.of();
    private boolean mStale = true;

    Neighborhood(InstanceId self, ZoneId zone) {
        mSelf = self;
        mZone = zone;
    }

    /** Invalidates the selected neighbors because a member joined or terminated. */
    void membersChanged() {
        mStale = true;
    }

    /** Returns the neighbors. The inactivity of a new neighbor is measured from {@code now}. */
    Set<InstanceId> of(Collection<MemberRecord> records, long now) {
        if (!mStale) {
            return mNeighbors;
        }
        Map<InstanceId, ZoneId> candidates = new HashMap<>();
        candidates.put(mSelf, mZone);
        for (MemberRecord record : records) {
            if (!record.isTerminated()) {
                candidates.put(record.id(), record.update().zone());
            }
        }
        Set<InstanceId> before = mNeighbors;
        mNeighbors = Neighbors.of(mSelf, candidates);
        mStale = false;
        records.stream()
                .filter(record -> mNeighbors.contains(record.id()))
                .filter(record -> !before.contains(record.id()))
                .forEach(record -> record.resetInactivity(now));
        return mNeighbors;
    }
}
