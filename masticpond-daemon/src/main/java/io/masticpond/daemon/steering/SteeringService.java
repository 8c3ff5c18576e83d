package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.membership.MembershipView;
import io.masticpond.daemon.eventloop.EventLoop;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the decisions of the request path up to date with configuration, members and time.
 *
 * <p>Public methods may be called by any thread; the work is done by the steering duty.
 *
 * @since 0.1
 */
public final class SteeringService {

    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(5);
    private static final Duration RECONFIGURE_PERIOD = Duration.ofMillis(250);

    private final EventLoop mDuty;
    private final DefaultShardDirectory mDirectory;
    private final ConfiguredRegionSelector mSelector;
    private final AdmitterSteering mAdmitter;
    private final Map<RegionKey, Headroom> mRegions = new LinkedHashMap<>();
    private volatile Map<RegionKey, Headroom> mRegionHeadrooms = Map.of();
    private volatile Map<Shard, Headroom> mOwnHeadrooms = Map.of();
    private volatile int mInFlight;
    private Configuration mConfiguration = Configuration.EMPTY;

    /**
     * Makes the keeper; the duty must not be started yet.
     *
     * @param duty the steering duty
     * @param directory tells who admits where
     * @param selector chooses regions
     * @param admitter the admitter side
     */
    public SteeringService(
            EventLoop duty,
            DefaultShardDirectory directory,
            ConfiguredRegionSelector selector,
            AdmitterSteering admitter) {
        mDuty = duty;
        mDirectory = directory;
        mSelector = selector;
        mAdmitter = admitter;
        mDuty.every(ADVANCE_PERIOD, this::advance);
        mDuty.every(RECONFIGURE_PERIOD, this::observeOwnShards);
    }

    /**
     * Takes a configuration that came into force.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        mDuty.put(
                () -> {
                    mConfiguration = configuration;
                    mDirectory.configure(configuration);
                    mSelector.configure(configuration);
                    mAdmitter.reconfigure();
                });
    }

    /**
     * Takes the members as they are seen now.
     *
     * @param view the members
     */
    public void updateMembers(MembershipView view) {
        mDuty.put(
                () -> {
                    mDirectory.updateMembers(view);
                    countInstances(view);
                    tellReachable();
                    mAdmitter.reconfigure();
                });
    }

    /**
     * Takes the counts of a shard that another instance admits to.
     *
     * @param shard the shard
     * @param headroom the counts
     */
    public void updateHeadroom(Shard shard, Headroom headroom) {
        mDuty.offer(() -> observe(shard, headroom));
    }

    /**
     * Counts the requests that wait here or are at backend servers, as a few milliseconds ago.
     *
     * @return the count
     */
    public int inFlight() {
        return mInFlight;
    }

    /**
     * Gives the counts of the shards that are admitted here, as a short time ago.
     *
     * @return the counts by shard
     */
    public Map<Shard, Headroom> ownHeadrooms() {
        return mOwnHeadrooms;
    }

    /**
     * Gives the newest counts of each service in each region, as far as known here.
     *
     * @return the counts
     */
    public Map<RegionKey, Headroom> regionHeadrooms() {
        return mRegionHeadrooms;
    }

    /**
     * A service in a region.
     *
     * @param service the service
     * @param region the region
     */
    public record RegionKey(ServiceId service, RegionId region) {}

    private void advance() {
        mAdmitter.advance();
        mInFlight = mAdmitter.inFlight();
    }

    private void observeOwnShards() {
        for (Map.Entry<Shard, Headroom> each : mAdmitter.headrooms().entrySet()) {
            Shard shard = each.getKey();
            if (mDirectory.admitsHere(shard)) {
                observe(shard, each.getValue());
            }
        }
        mAdmitter.reconfigure();
        mOwnHeadrooms = mAdmitter.headrooms();
        mRegionHeadrooms = Map.copyOf(mRegions);
    }

    private void observe(Shard shard, Headroom headroom) {
        Headroom sum = mDirectory.observe(shard, headroom);
        mRegions.put(new RegionKey(shard.service(), shard.region()), sum);
        mSelector.observe(shard.service(), shard.region(), sum);
    }

    private void countInstances(MembershipView view) {
        Optional<RegionId> own = mSelector.region();
        int inAll = view.live().size();
        int inRegion =
                (int)
                        view.live().stream()
                                .filter(
                                        member ->
                                                mConfiguration.regionOf(member.zone()).equals(own))
                                .count();
        mSelector.updateInstanceCounts(Math.max(1, inRegion), Math.max(1, inAll));
    }

    private void tellReachable() {
        for (ServiceSpecification service : mConfiguration.content().services()) {
            Set<RegionId> reachable = mDirectory.reachableRegions(service.id());
            for (RegionSpecification region : mConfiguration.content().regions()) {
                mSelector.setReachable(service.id(), region.id(), reachable.contains(region.id()));
            }
        }
    }
}
