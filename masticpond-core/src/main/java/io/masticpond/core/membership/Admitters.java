package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.Shard;
import java.util.List;

/**
 * Strategy interface for determining the instances that may admit work to a shard, in order of
 * preference.
 *
 * @since 0.1
 * @see MembershipView
 */
@FunctionalInterface
public interface Admitters {

    /**
     * Returns the instances that may admit work to a shard: those of its region, ordered by
     * rendezvous hashing, or those of all regions if its region has none.
     *
     * @param shard the shard
     * @return the instances in order of preference, or an empty list if none may admit work
     */
    List<InstanceId> order(Shard shard);
}
