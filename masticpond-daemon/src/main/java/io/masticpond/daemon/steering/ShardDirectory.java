package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import java.util.List;

/**
 * Tells who admits work to what, as this instance sees it now.
 *
 * <p>Read by the steering duty only.
 *
 * @since 0.1
 */
public interface ShardDirectory {

    /**
     * Lists where a request for a region may go.
     *
     * @param service the service
     * @param region the region
     * @return shards with their admitters, the first choice first; empty if no instance is there
     */
    List<ShardRoute> routes(ServiceId service, RegionId region);

    /**
     * Tells whether this instance admits work to a shard now.
     *
     * @param shard the shard
     * @return whether it is the first in the order of its own view
     */
    boolean admitsHere(Shard shard);

    /**
     * Lists the shards that this instance admits work to now.
     *
     * @return the shards
     */
    List<Shard> shardsHere();

    /**
     * Lists the backend servers of a shard.
     *
     * @param shard the shard
     * @return the backend servers
     */
    List<BackendServerSpecification> servers(Shard shard);

    /**
     * Tells how much of the slots of a shard this instance may use.
     *
     * @param shard the shard
     * @return the share
     */
    SlotShare share(Shard shard);

    /**
     * Takes the counts of a shard that its admitter told.
     *
     * @param shard the shard
     * @param headroom the counts
     * @return the sums over the region of the shard
     */
    Headroom observe(Shard shard, Headroom headroom);

    /**
     * Lists the other instances that take work, in an order that spreads requests over them.
     *
     * @param request the request
     * @return the instances, those of the own region first
     */
    List<InstanceId> othersFor(RequestId request);

    /**
     * Counts a request that was forwarded to a shard, until its next counts come.
     *
     * @param shard the shard
     */
    void sent(Shard shard);

    /**
     * A shard and the instances that may admit to it.
     *
     * @param shard the shard
     * @param admitters the instances in order of choice, at least one
     */
    record ShardRoute(Shard shard, List<InstanceId> admitters) {

        /** Copies the list. */
        public ShardRoute {
            admitters = List.copyOf(admitters);
        }
    }
}
