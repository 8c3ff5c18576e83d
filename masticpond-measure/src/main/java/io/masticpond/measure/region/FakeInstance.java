package io.masticpond.measure.region;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.lookup.ClientBlockTable;
import io.masticpond.core.lookup.LookupDecider;
import io.masticpond.core.lookup.LookupParameters;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MembershipView;
import io.masticpond.core.region.DefaultRegionSelector;
import io.masticpond.core.region.RegionSelectorParameters;
import io.masticpond.daemon.steering.DefaultShardDirectory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulated incarnation of an instance, with the real region selector, shard directory, look-ups
 * and admissions.
 */
final class FakeInstance {

    private final RegionSimulation mSimulation;
    private final Member mMember;
    private final Configuration mConfiguration;
    private final RegionId mRegion;
    private final DefaultRegionSelector mSelector;
    private final DefaultShardDirectory mDirectory;
    private final ClientBlockTable mBlocks;
    private final Map<Shard, AdmitterHost> mHosts = new HashMap<>();
    private final Set<EntryFlow> mFlows = new LinkedHashSet<>();
    private LookupDecider mDecider;
    private boolean mRunning = true;

    FakeInstance(RegionSimulation simulation, Member member, Configuration configuration) {
        mSimulation = simulation;
        mMember = member;
        mConfiguration = configuration;
        mRegion = configuration.regionOf(member.zone()).orElseThrow();
        mSelector =
                new DefaultRegionSelector(
                        mRegion,
                        configuration,
                        simulation.events().timeSource(),
                        RegionSelectorParameters.DEFAULT);
        mDirectory =
                new DefaultShardDirectory(
                        member.id(),
                        member.zone(),
                        simulation.scope(),
                        simulation.events().timeSource());
        mDirectory.configure(configuration);
        mBlocks = ClientBlockTable.of(configuration.content().clientBlocks()).get();
    }

    InstanceId id() {
        return mMember.id();
    }

    Member member() {
        return mMember;
    }

    ZoneId zone() {
        return mMember.zone();
    }

    boolean isRunning() {
        return mRunning;
    }

    DefaultRegionSelector selector() {
        return mSelector;
    }

    DefaultShardDirectory directory() {
        return mDirectory;
    }

    LookupDecider decider() {
        return mDecider;
    }

    AdmitterHost host(Shard shard) {
        return mHosts.computeIfAbsent(
                shard,
                added -> {
                    AdmitterHost host = new AdmitterHost(mSimulation, zone(), added);
                    host.configure(mDirectory);
                    return host;
                });
    }

    Map<Shard, AdmitterHost> hosts() {
        return mHosts;
    }

    void add(EntryFlow flow) {
        mFlows.add(flow);
    }

    void remove(EntryFlow flow) {
        mFlows.remove(flow);
    }

    void terminate() {
        mRunning = false;
        mHosts.values().forEach(AdmitterHost::terminate);
        new ArrayList<>(mFlows).forEach(flow -> flow.end(Outcome.BROKEN));
    }

    void observe(Shard shard, Headroom headroom) {
        if (mSimulation.measurementsStopped()) {
            return;
        }
        mSelector.observe(shard.service(), shard.region(), mDirectory.observe(shard, headroom));
    }

    /** Applies this instance's view of the members. */
    void updateView(MembershipView view) {
        mDirectory.updateMembers(view);
        List<Member> live = view.live();
        long inRegion =
                live.stream()
                        .filter(each -> mConfiguration.regionOf(each.zone()).get().equals(mRegion))
                        .count();
        mSelector.setInstanceCounts((int) inRegion, live.size());
        for (ServiceId service : mSimulation.services()) {
            Set<RegionId> reachableRegions = mDirectory.reachableRegions(service);
            for (RegionSpecification region : mConfiguration.content().regions()) {
                mSelector.setReachable(
                        service, region.id(), reachableRegions.contains(region.id()));
            }
        }
        mDecider =
                new LookupDecider(
                        mConfiguration, mBlocks, view.members(), zone(), LookupParameters.DEFAULT);
        reconfigure();
    }

    /**
     * Configures each admission with its current share, and removes idle admissions of shards that
     * this instance no longer admits to.
     */
    void reconfigure() {
        mDirectory.shardsHere().forEach(shard -> host(shard).configure(mDirectory));
        mHosts.entrySet()
                .removeIf(
                        each -> each.getValue().isIdle() && !mDirectory.admitsHere(each.getKey()));
    }
}
