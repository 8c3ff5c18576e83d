package io.masticpond.measure.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationPlanner;
import io.masticpond.core.configuration.PlanObservations;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.daemon.configuration.ConfigurationCommands;
import io.masticpond.daemon.configuration.ConfigurationHolder;
import io.masticpond.daemon.configuration.ConfigurationPeers;
import io.masticpond.daemon.configuration.ConfigurationService;
import io.masticpond.daemon.configuration.DefaultConfigurationCommands;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.KeyRing;
import io.masticpond.daemon.instance.LinkSettings;
import io.masticpond.daemon.instance.LinkStatistics;
import io.masticpond.daemon.instance.NettyInstanceLinks;
import io.masticpond.daemon.platform.HttpObjectStore;
import io.masticpond.daemon.platform.PlatformClientSettings;
import io.masticpond.daemon.platform.PlatformObserver;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One run of an instance: the production platform client, links and configuration service.
 *
 * <p>Other instances see the configuration version as of its last {@link #heartbeat}.
 */
final class MeasuredInstance implements AutoCloseable {

    private static final int CALLS_PER_SECOND = 100;

    private final Incarnation mIncarnation;
    private final ZoneId mZone;
    private final NettyInstanceLinks mLinks;
    private final HttpObjectStore mStore;
    private final ConfigurationHolder mHolder = new ConfigurationHolder();
    private final ConfigurationService mService;
    private final ConfigurationCommands mCommands;
    private final String mLinkAddress;
    private final long mStartNanos = System.nanoTime();
    private final List<InForce> mInForce = Collections.synchronizedList(new ArrayList<>());
    private volatile ConfigurationVersion mHeartbeatVersion = ConfigurationVersion.NONE;

    /**
     * Configuration version with the time at which it came into force.
     *
     * @param version the number of the version
     * @param nanos the time, from {@link System#nanoTime}
     */
    record InForce(long version, long nanos) {}

    MeasuredInstance(
            Incarnation incarnation, ZoneId zone, String platform, MeasuredFleet fleet, long seed) {
        mIncarnation = incarnation;
        mZone = zone;
        SystemTimeSource time = new SystemTimeSource();
        byte[] key = "a-key-of-the-measure".getBytes(StandardCharsets.UTF_8);
        LinkSettings links = LinkSettings.of("127.0.0.1:0", new KeyRing("one", Map.of("one", key)));
        mLinks = new NettyInstanceLinks(incarnation, links, time, seed);
        mLinkAddress = "127.0.0.1:" + mLinks.start().getPort();
        mStore =
                new HttpObjectStore(
                        PlatformClientSettings.of(List.of(platform), CALLS_PER_SECOND),
                        time,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                        PlatformObserver.NONE);
        ConfigurationCodec codec = new ConfigurationCodec();
        ConfigurationPeers peers = fleet.peersOf(this);
        mService =
                new ConfigurationService(
                        incarnation.instance(),
                        zone,
                        mStore,
                        peers,
                        mHolder,
                        codec,
                        time,
                        Timeline.NONE);
        mCommands =
                new DefaultConfigurationCommands(
                        mService,
                        mHolder,
                        new ConfigurationPlanner(PlanObservations.NONE),
                        mStore,
                        codec,
                        time,
                        Timeline.NONE);
        mHolder.addListener(this::recordInForce);
    }

    void start() {
        mService.start();
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    ZoneId zone() {
        return mZone;
    }

    InstanceLinks links() {
        return mLinks;
    }

    ConfigurationCommands commands() {
        return mCommands;
    }

    Configuration current() {
        return mHolder.current();
    }

    boolean isReady() {
        return mService.isReady();
    }

    long startNanos() {
        return mStartNanos;
    }

    LinkStatistics linkStatistics() {
        return mLinks.statistics();
    }

    List<InForce> inForce() {
        return List.copyOf(mInForce);
    }

    void heartbeat() {
        mHeartbeatVersion = mHolder.current().version();
    }

    Member asMember() {
        return new Member(
                mIncarnation, mZone, mLinkAddress, "", "", MemberState.LIVE, mHeartbeatVersion);
    }

    @Override
    public void close() {
        mLinks.close();
        mService.close();
        mStore.close();
    }

    private void recordInForce(Configuration configuration) {
        mInForce.add(new InForce(configuration.version().number(), System.nanoTime()));
    }
}
