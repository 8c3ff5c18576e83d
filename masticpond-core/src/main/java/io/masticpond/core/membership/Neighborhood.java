package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The neighbors of this instance, picked again when members come or go.
 *
 * <p>A member that is dead because it was silent stays a neighbor: it may be behind a cut, and the
 * heartbeats sent to it find out when the cut ends.
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

    /** Notes that a member came or went. */
    void membersChanged() {
        mStale = true;
    }

    /** Gives the neighbors; a new one has its silence counted from now. */
    Set<InstanceId> of(Collection<MemberRecord> records, long now) {
        if (!mStale) {
            return mNeighbors;
        }
        Map<InstanceId, ZoneId> alive = new HashMap<>();
        alive.put(mSelf, mZone);
        for (MemberRecord record : records) {
            if (!record.isTerminated()) {
                alive.put(record.id(), record.update().zone());
            }
        }
        Set<InstanceId> before = mNeighbors;
        mNeighbors = Neighbors.of(mSelf, alive);
        mStale = false;
        records.stream()
                .filter(record -> mNeighbors.contains(record.id()))
                .filter(record -> !before.contains(record.id()))
                .forEach(record -> record.resetInactivity(now));
        return mNeighbors;
    }
}
