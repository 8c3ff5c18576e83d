package io.masticpond.daemon.steering;

import io.masticpond.core.admission.AdmissionShare;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MembershipView;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.core.region.RegionSelectorParameters;
import io.masticpond.core.region.ShardChooser;
import io.masticpond.core.region.ShardHeadrooms;
import io.masticpond.core.region.ShardScope;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Default implementation of {@link ShardDirectory}, derived from the current configuration and
 * membership.
 *
 * <p>Confined to the steering thread.
 *
 * @since 0.1
 */
public final class DefaultShardDirectory implements ShardDirectory {

    private static final Duration ZONE_ROUND_TRIP = Duration.ofMillis(2);

    private final InstanceId mSelf;
    private final ZoneId mZone;
    private final ShardScope mScope;
    private final TimeSource mTimeSource;
    private final ShardChooser mChooser = new ShardChooser(ZONE_ROUND_TRIP);
    private final ShardHeadrooms mHeadrooms;
    private final Map<Shard, Long> mAdmittedSince = new HashMap<>();
    private final Map<Shard, List<InstanceId>> mAdmitters = new HashMap<>();
    private final Map<ServiceId, Map<RegionId, List<Shard>>> mShards = new HashMap<>();
    private Configuration mConfiguration = Configuration.EMPTY;
    private MembershipView mView;

    /**
     * Creates a directory without configuration or members.
     *
     * @param self this instance
     * @param zone its availability zone
     * @param scope the scope of a shard, that is, what one admitter admits to
     * @param timeSource the source of the current time
     */
    public DefaultShardDirectory(
            InstanceId self, ZoneId zone, ShardScope scope, TimeSource timeSource) {
        mSelf = self;
        mZone = zone;
        mScope = scope;
        mTimeSource = timeSource;
        mHeadrooms = new ShardHeadrooms(timeSource, RegionSelectorParameters.DEFAULT.freshFor());
    }

    /**
     * Applies the configuration in force.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        mConfiguration = configuration;
        refresh();
    }

    /**
     * Applies the current membership view.
     *
     * @param view the members, including this instance
     */
    public void updateMembers(MembershipView view) {
        mView = view;
        refresh();
    }

    /**
     * Returns the regions in which at least one instance may admit requests of a service.
     *
     * @param service the service
     * @return the regions
     */
    public Set<RegionId> reachableRegions(ServiceId service) {
        Set<RegionId> regions = new TreeSet<>();
        mAdmitters.forEach(
                (shard, admitters) -> {
                    if (shard.service().equals(service) && !admitters.isEmpty()) {
                        regions.add(shard.region());
                    }
                });
        return regions;
    }

    @Override
    public List<ShardRoute> routes(ServiceId service, RegionId region) {
        List<Shard> shards = shards(service, region);
        if (shards.isEmpty()) {
            return List.of();
        }
        Shard first = mChooser.choose(shards, ownZoneIndex(region), mHeadrooms.fresh(shards));
        List<ShardRoute> routes = new ArrayList<>();
        routes.add(route(first));
        shards.stream().filter(each -> !each.equals(first)).map(this::route).forEach(routes::add);
        return routes;
    }

    @Override
    public boolean admitsHere(Shard shard) {
        List<InstanceId> admitters = mAdmitters.getOrDefault(shard, List.of());
        return !admitters.isEmpty() && admitters.get(0).equals(mSelf);
    }

    @Override
    public Headroom observe(Shard shard, Headroom headroom) {
        mHeadrooms.observe(shard, headroom);
        Headroom sum = headroom;
        List<Shard> others = new ArrayList<>(shards(shard.service(), shard.region()));
        others.remove(shard);
        for (Headroom other : mHeadrooms.fresh(others).values()) {
            sum = sum.plus(other);
        }
        return sum;
    }

    @Override
    public void recordForward(Shard shard) {
        mHeadrooms.recordSent(shard);
    }

    @Override
    public List<InstanceId> otherInstances(RequestId request) {
        List<InstanceId> inOwnRegion = new ArrayList<>();
        List<InstanceId> inOtherRegions = new ArrayList<>();
        Optional<RegionId> own = mConfiguration.regionOf(mZone);
        for (Member member : mView == null ? List.<Member>of() : mView.live()) {
            if (!member.id().equals(mSelf)) {
                (mConfiguration.regionOf(member.zone()).equals(own) ? inOwnRegion : inOtherRegions)
                        .add(member.id());
            }
        }
        List<InstanceId> others = new ArrayList<>(Rendezvous.order(request.value(), inOwnRegion));
        others.addAll(Rendezvous.order(request.value(), inOtherRegions));
        return others;
    }

    @Override
    public List<Shard> shardsHere() {
        return mAdmitters.keySet().stream().filter(this::admitsHere).toList();
    }

    @Override
    public List<BackendServerSpecification> servers(Shard shard) {
        return mScope.servers(mConfiguration, shard);
    }

    @Override
    public SlotShare share(Shard shard) {
        List<Member> possible =
                mScope.possibleAdmitters(mConfiguration, shard, mView.members(), mView.missing());
        List<InstanceId> ids = new ArrayList<>(possible.stream().map(Member::id).toList());
        if (!ids.contains(mSelf)) {
            ids.add(mSelf);
        }
        boolean hasMissingAdmitter = ids.stream().anyMatch(mView.missing()::contains);
        if (!mView.upToDate() || hasMissingAdmitter) {
            return new SlotShare(AdmissionShare.FAIR_SHARE, mSelf, ids);
        }
        return new SlotShare(
                isInWideningPeriod(shard) ? AdmissionShare.WIDENING : AdmissionShare.WHOLE,
                mSelf,
                ids);
    }

    private boolean isInWideningPeriod(Shard shard) {
        Long since = mAdmittedSince.get(shard);
        long deadlineMillis =
                mConfiguration
                        .service(shard.service())
                        .map(ServiceSpecification::defaultDeadlineMillis)
                        .orElse(0L);
        long wideningNanos = TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
        return since == null || mTimeSource.monotonicNanos() - since < wideningNanos;
    }

    /** Returns the shards of a service in a region that have an admitter. */
    private List<Shard> shards(ServiceId service, RegionId region) {
        return mShards.getOrDefault(service, Map.of()).getOrDefault(region, List.of());
    }

    private ShardRoute route(Shard shard) {
        return new ShardRoute(shard, mAdmitters.get(shard));
    }

    private int ownZoneIndex(RegionId region) {
        return mConfiguration.content().regions().stream()
                .filter(found -> found.id().equals(region))
                .map(found -> found.zones().indexOf(mZone))
                .findFirst()
                .orElse(-1);
    }

    private void refresh() {
        mAdmitters.clear();
        mShards.clear();
        if (mView == null) {
            return;
        }
        for (ServiceSpecification service : mConfiguration.content().services()) {
            mConfiguration
                    .content()
                    .regions()
                    .forEach(region -> refresh(service.id(), region.id()));
        }
        mAdmittedSince.keySet().removeIf(shard -> !admitsHere(shard));
        long now = mTimeSource.monotonicNanos();
        shardsHere().forEach(shard -> mAdmittedSince.putIfAbsent(shard, now));
    }

    private void refresh(ServiceId service, RegionId region) {
        List<Shard> shards = new ArrayList<>();
        for (Shard shard : mScope.shards(mConfiguration, service, region)) {
            List<InstanceId> admitters =
                    mScope.admitters(mConfiguration, shard, mView.members(), mView.missing());
            mAdmitters.put(shard, admitters);
            if (!admitters.isEmpty()) {
                shards.add(shard);
            }
        }
        mShards.computeIfAbsent(service, added -> new HashMap<>()).put(region, shards);
    }
}
