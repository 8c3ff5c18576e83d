package io.masticpond.core.region;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.Rendezvous;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Scopes of a shard: the backend servers to which one admitter admits requests, and the instances
 * that may be that admitter.
 *
 * @since 0.1
 */
public enum ShardScope {
    /** One admitter for all backend servers of a region, which pools them best. */
    REGION {
        @Override
        public int shardCount(RegionSpecification region) {
            return 1;
        }

        @Override
        boolean contains(RegionSpecification region, Shard shard, ZoneId zone) {
            return region.zones().contains(zone);
        }
    },
    /**
     * One admitter for each availability zone, so that a partitioned zone keeps its own servers.
     */
    ZONE {
        @Override
        public int shardCount(RegionSpecification region) {
            return region.zones().size();
        }

        @Override
        boolean contains(RegionSpecification region, Shard shard, ZoneId zone) {
            return shard.number() == region.zones().indexOf(zone);
        }
    };

    /**
     * Returns the number of shards of each service in a region.
     *
     * @param region the region
     * @return the number, at least 1; shards are numbered from 0
     */
    public abstract int shardCount(RegionSpecification region);

    abstract boolean contains(RegionSpecification region, Shard shard, ZoneId zone);

    /**
     * Returns the shards of a service in a region that have backend servers.
     *
     * @param configuration the configuration
     * @param service the service
     * @param region the region
     * @return the shards in the order of their numbers
     */
    public List<Shard> shards(Configuration configuration, ServiceId service, RegionId region) {
        return findRegion(configuration, region).stream()
                .flatMap(found -> IntStream.range(0, shardCount(found)).boxed())
                .map(number -> new Shard(service, region, number))
                .filter(shard -> !servers(configuration, shard).isEmpty())
                .toList();
    }

    /**
     * Returns the backend servers of a shard.
     *
     * @param configuration the configuration
     * @param shard the shard
     * @return the backend servers in the order of the configuration
     */
    public List<BackendServerSpecification> servers(Configuration configuration, Shard shard) {
        Optional<RegionSpecification> region = findRegion(configuration, shard.region());
        return configuration.backendServers(shard.service(), shard.region()).stream()
                .filter(server -> contains(region.orElseThrow(), shard, server.zone()))
                .toList();
    }

    /**
     * Returns the instances that may admit requests to a shard in order, the admitter first. If all
     * instances in the scope of the shard are known to have terminated, those of the region replace
     * them.
     *
     * @param configuration the configuration
     * @param shard the shard
     * @param members all known instances
     * @param missing the unreachable instances that may still be running
     * @return the instances that admit requests, in order
     */
    public List<InstanceId> admitters(
            Configuration configuration,
            Shard shard,
            Collection<Member> members,
            Set<InstanceId> missing) {
        List<InstanceId> candidates =
                possibleAdmitters(configuration, shard, members, missing).stream()
                        .filter(member -> member.state().canAdmit())
                        .map(Member::id)
                        .toList();
        return Rendezvous.order(shard.toString(), candidates);
    }

    /**
     * Returns the instances that may be admitting requests to a shard: those in the scope of its
     * backend servers, in any state, or those of the region if all of the former are known to have
     * terminated. Unreachable instances may be partitioned together with their backend servers and
     * then continue on their own.
     *
     * @param configuration the configuration
     * @param shard the shard
     * @param members all known instances
     * @param missing the unreachable instances that may still be running
     * @return the instances in the order given
     */
    public List<Member> possibleAdmitters(
            Configuration configuration,
            Shard shard,
            Collection<Member> members,
            Set<InstanceId> missing) {
        Optional<RegionSpecification> region = findRegion(configuration, shard.region());
        if (region.isEmpty()) {
            return List.of();
        }
        List<Member> scopeMembers =
                members.stream()
                        .filter(each -> contains(region.get(), shard, each.zone()))
                        .toList();
        for (Member member : scopeMembers) {
            if (member.state().canAdmit() || missing.contains(member.id())) {
                return scopeMembers;
            }
        }
        return members.stream().filter(each -> region.get().zones().contains(each.zone())).toList();
    }

    private static Optional<RegionSpecification> findRegion(
            Configuration configuration, RegionId region) {
        return configuration.content().regions().stream()
                .filter(found -> found.id().equals(region))
                .findFirst();
    }
}
