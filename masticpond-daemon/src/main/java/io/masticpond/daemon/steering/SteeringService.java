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
 * Service that keeps the request path up to date with the configuration, the membership and the
 * passage of time.
 *
 * <p>Thread-safe; the work is done on the steering thread. {@link #configure} and {@link
 * #updateMembers} block while the queue of the event loop is full, unless called on the steering
 * thread, and must not be called from a thread that the steering thread waits for, see {@link
 * EventLoop#put}.
 *
 * @since 0.1
 */
public final class SteeringService {

    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(5);
    private static final Duration RECONFIGURE_PERIOD = Duration.ofMillis(250);

    private final EventLoop mEventLoop;
    private final DefaultShardDirectory mDirectory;
    private final ConfiguredRegionSelector mSelector;
    private final AdmitterSteering mAdmitter;
    private final Map<RegionKey, Headroom> mNewestHeadrooms = new LinkedHashMap<>();
    private volatile Map<RegionKey, Headroom> mRegionHeadrooms = Map.of();
    private volatile Map<Shard, Headroom> mOwnHeadrooms = Map.of();
    private Configuration mConfiguration = Configuration.EMPTY;

    /**
     * Creates the service; the event loop must not be started yet.
     *
     * @param eventLoop the steering event loop
     * @param directory provides the shards and their admitters
     * @param selector selects regions
     * @param admitter the admitter side
     */
    public SteeringService(
            EventLoop eventLoop,
            DefaultShardDirectory directory,
            ConfiguredRegionSelector selector,
            AdmitterSteering admitter) {
        mEventLoop = eventLoop;
        mDirectory = directory;
        mSelector = selector;
        mAdmitter = admitter;
        mEventLoop.schedulePeriodically(ADVANCE_PERIOD, this::advance);
        mEventLoop.schedulePeriodically(RECONFIGURE_PERIOD, this::observeOwnShards);
    }

    /**
     * Applies a configuration that has come into force.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        mEventLoop.put(
                () -> {
                    mConfiguration = configuration;
                    mDirectory.configure(configuration);
                    mSelector.configure(configuration);
                    mAdmitter.reconfigure();
                });
    }

    /**
     * Applies the current membership view.
     *
     * @param view the members
     */
    public void updateMembers(MembershipView view) {
        mEventLoop.put(
                () -> {
                    mDirectory.updateMembers(view);
                    countInstances(view);
                    updateReachability();
                    mAdmitter.reconfigure();
                });
    }

    /**
     * Updates the headroom of a shard that another instance admits to. Dropped if the queue of the
     * event loop is full.
     *
     * @param shard the shard
     * @param headroom the headroom
     */
    public void updateHeadroom(Shard shard, Headroom headroom) {
        mEventLoop.offer(() -> observe(shard, headroom));
    }

    /**
     * Returns the headroom of the shards that this instance admits to, updated every quarter of a
     * second.
     *
     * @return the headroom by shard
     */
    public Map<Shard, Headroom> ownHeadrooms() {
        return mOwnHeadrooms;
    }

    /**
     * Returns the newest headroom of each service in each region, as far as it is known to this
     * instance.
     *
     * @return the headroom by service and region
     */
    public Map<RegionKey, Headroom> regionHeadrooms() {
        return mRegionHeadrooms;
    }

    /**
     * Key of a service in a region.
     *
     * @param service the service
     * @param region the region
     */
    public record RegionKey(ServiceId service, RegionId region) {}

    private void advance() {
        mAdmitter.advance();
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
        mRegionHeadrooms = Map.copyOf(mNewestHeadrooms);
    }

    private void observe(Shard shard, Headroom headroom) {
        Headroom sum = mDirectory.observe(shard, headroom);
        mNewestHeadrooms.put(new RegionKey(shard.service(), shard.region()), sum);
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

    private void updateReachability() {
        for (ServiceSpecification service : mConfiguration.content().services()) {
            Set<RegionId> reachable = mDirectory.reachableRegions(service.id());
            for (RegionSpecification region : mConfiguration.content().regions()) {
                mSelector.setReachable(service.id(), region.id(), reachable.contains(region.id()));
            }
        }
    }
}
