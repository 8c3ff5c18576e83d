package io.masticpond.entry.wiring;

import dagger.Binds;
import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.metrics.EntryMetrics;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.HeartbeatSettings;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.replica.EventLoopScheduler;
import io.masticpond.entry.replica.FleetReplica;
import io.masticpond.entry.replica.InstanceRegistration;
import io.masticpond.entry.replica.KnownZonesTranslator;
import io.masticpond.entry.replica.RelayClient;
import io.masticpond.entry.replica.RelayServer;
import io.masticpond.entry.replica.ReplicaContext;
import io.masticpond.entry.replica.ReplicaSettings;
import io.masticpond.entry.replica.StoreFeed;
import io.masticpond.entry.replica.WatcherSelector;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import javax.inject.Singleton;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Dagger module of the components on the control thread: the peers, the replica of the store and
 * this instance's registration there.
 */
@Module
abstract class ControlModule {

    @Binds
    abstract PeerView peers(HeartbeatService heartbeats);

    @Provides
    @Singleton
    static HeartbeatService heartbeats(
            PeerInstance self,
            EntrySettings settings,
            TimeSource timeSource,
            @ControlThread EventLoop control,
            DecisionLog log) {
        return new HeartbeatService(
                self,
                Seeds.internal(settings, self),
                HeartbeatSettings.DEFAULT,
                timeSource,
                control,
                new LoggingPeerListener(log, timeSource));
    }

    @Provides
    @Singleton
    static ReplicaContext replicaContext(
            PlatformAdapter platform,
            @ControlThread EventLoop control,
            EntrySettings settings,
            TimeSource timeSource,
            EntryMetrics metrics,
            PeerInstance self) {
        StoreFeed feed = metrics.counting(platform.storeFeed(control, settings, timeSource));
        return new ReplicaContext(
                feed,
                new EventLoopScheduler(control),
                timeSource,
                RandomSource.XO_RO_SHI_RO_128_PP.create(self.incarnation()),
                ReplicaSettings.DEFAULT
                        .withWatchersInZone(settings.store().watchersInZone())
                        .within(settings.bounds().shortest())
                        .withVerification(
                                ReplicaSettings.Verification.within(
                                        settings.bounds().configurationApply(),
                                        settings.bounds().leave(),
                                        settings.bounds().evacuation())));
    }

    @Provides
    @Singleton
    static InstanceRegistration registration(
            ReplicaContext context,
            PeerInstance self,
            HeartbeatService heartbeats,
            FleetReplica replica) {
        return new InstanceRegistration(
                context,
                self.id().value(),
                era -> InstanceDocuments.write(self, era),
                listed -> {
                    heartbeats.addKnown(InstanceDocuments.readAll(listed));
                    replica.restoreTracker().instancesListed(InstanceDocuments.newestEra(listed));
                });
    }

    /**
     * Creates the replica. The components that it notifies of a snapshot depend on the replica
     * themselves, so they are resolved lazily.
     */
    @Provides
    @Singleton
    static FleetReplica replica(
            ReplicaContext context,
            PlatformAdapter platform,
            @ControlThread EventLoop control,
            EntrySettings settings,
            PeerInstance self,
            HeartbeatService heartbeats,
            DecisionLog log,
            Lazy<SnapshotUpdates> updates) {
        FleetReplica replica =
                new FleetReplica(
                        context,
                        platform.storeProbe(control, settings),
                        new KnownZonesTranslator(platform.translator(), settings.zones().keySet()),
                        (snapshot, source) -> updates.get().snapshotChanged(snapshot, source));
        replica.addStoreListener(new LoggingStoreListener(log));
        HeartbeatRevisions revisions = new HeartbeatRevisions(heartbeats, self.id());
        RelayClient client = new RelayClient(control);
        replica.usePeers(revisions, client, settings.zone(), settings.region());
        replica.shareWatching(
                new WatcherSelector(
                        settings.zone(), self.id(), () -> revisions.readyMembers(settings.zone())),
                client);
        return replica;
    }

    @Provides
    @Singleton
    static RelayServer relayServer(@ControlThread EventLoop control, FleetReplica replica) {
        return new RelayServer(control, replica);
    }
}
