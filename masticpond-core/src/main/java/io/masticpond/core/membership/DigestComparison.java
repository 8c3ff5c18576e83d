package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import java.util.HashMap;
import java.util.Map;

/**
 * Comparison of digests that determines when a neighbor whose digest differs is sent the full
 * membership state of this instance.
 */
final class DigestComparison {

    private static final int DIFFERENCES_BEFORE_SEND = 3;
    private static final int HEARTBEATS_BETWEEN_SENDS = 10;

    private final Map<InstanceId, Integer> mConsecutiveDifferences = new HashMap<>();

    /**
     * Compares the digests of one heartbeat and returns whether the full state must be sent to the
     * neighbor.
     */
    boolean mustSendAll(InstanceId from, long own, long other) {
        if (own == other) {
            mConsecutiveDifferences.remove(from);
            return false;
        }
        int count = mConsecutiveDifferences.merge(from, 1, Integer::sum);
        if (count < DIFFERENCES_BEFORE_SEND) {
            return false;
        }
        mConsecutiveDifferences.put(from, DIFFERENCES_BEFORE_SEND - HEARTBEATS_BETWEEN_SENDS);
        return true;
    }

    /** Removes the count of differences of an instance. */
    void remove(InstanceId id) {
        mConsecutiveDifferences.remove(id);
    }
}
