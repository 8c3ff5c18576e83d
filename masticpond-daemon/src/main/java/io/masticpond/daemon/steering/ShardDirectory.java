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
 * Strategy interface for looking up the shards and their admitters in the current view of this
 * instance.
 *
 * <p>Used on the steering thread only.
 *
 * @since 0.1
 */
public interface ShardDirectory {

    /**
     * Returns the routes for a request to a region.
     *
     * @param service the service
     * @param region the region
     * @return the shards with their admitters in order of preference; empty if no shard has an
     *     admitter
     */
    List<ShardRoute> routes(ServiceId service, RegionId region);

    /**
     * Determines whether this instance currently admits requests to a shard.
     *
     * @param shard the shard
     * @return whether this instance is the first admitter in its own view
     */
    boolean admitsHere(Shard shard);

    /**
     * Returns the shards that this instance currently admits requests to.
     *
     * @return the shards
     */
    List<Shard> shardsHere();

    /**
     * Returns the backend servers of a shard.
     *
     * @param shard the shard
     * @return the backend servers
     */
    List<BackendServerSpecification> servers(Shard shard);

    /**
     * Returns the share of the slots of a shard that this instance may use.
     *
     * @param shard the shard
     * @return the share
     */
    SlotShare share(Shard shard);

    /**
     * Records the headroom of a shard as reported by its admitter.
     *
     * @param shard the shard
     * @param headroom the headroom
     * @return the sum over all shards of the service in the region, as far as their headroom is
     *     current
     */
    Headroom observe(Shard shard, Headroom headroom);

    /**
     * Returns the other instances that accept requests, in an order that spreads requests over
     * them.
     *
     * @param request the request
     * @return the instances, with those in the region of this instance first
     */
    List<InstanceId> otherInstances(RequestId request);

    /**
     * Records a request that is forwarded to a shard; it counts against the headroom until the next
     * report.
     *
     * @param shard the shard
     */
    void recordForward(Shard shard);

    /**
     * Route to a shard.
     *
     * @param shard the shard
     * @param admitters the instances that may admit to the shard in order of preference, at least
     *     one
     */
    record ShardRoute(Shard shard, List<InstanceId> admitters) {

        /** Copies the list. */
        public ShardRoute {
            admitters = List.copyOf(admitters);
        }
    }
}
