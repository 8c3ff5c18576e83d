package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.List;
import java.util.Set;

/**
 * Read-only view of which instances are alive. Safe for use by multiple threads.
 *
 * @since 0.2
 */
public interface PeerView {

    /**
     * Returns the live instances, ready or not: this one and the others that have recently sent
     * heartbeats to this instance or, in a large fleet, to their neighbors.
     *
     * @return the instances, in the order of their ids
     */
    List<PeerInstance> alive();

    /**
     * Returns those of the live instances that have missed heartbeats and may have terminated.
     *
     * @return their ids
     */
    default Set<InstanceId> suspects() {
        return Set.of();
    }

    /**
     * Returns the number of instances that may be sending requests now: alive, or known and cut
     * off. Shares of a common limit are divided by this number.
     *
     * @return the number, at least 1, including this instance
     */
    int shareholders();
}
