package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import io.masticpond.core.admission.Admission;
import io.masticpond.core.admission.AdmissionSettings;
import io.masticpond.core.admission.AdmissionSink;
import io.masticpond.core.admission.DefaultAdmission;
import io.masticpond.core.id.Shard;
import io.masticpond.core.region.RegionSelectorParameters;
import io.masticpond.core.region.RetryBudget;
import io.masticpond.core.region.ShardScope;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.backend.BackendClient;
import io.masticpond.daemon.backend.BackendHealthChecker;
import io.masticpond.daemon.backend.BackendHealthSettings;
import io.masticpond.daemon.configuration.ConfigurationHolder;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.forwarding.ForwardReceiver;
import io.masticpond.daemon.forwarding.LinkRemoteAdmitter;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.settings.DaemonSettings;
import io.masticpond.daemon.spending.SpendingService;
import io.masticpond.daemon.steering.AdmitterSteering;
import io.masticpond.daemon.steering.ConfiguredRegionSelector;
import io.masticpond.daemon.steering.DefaultShardDirectory;
import io.masticpond.daemon.steering.EntrySteering;
import io.masticpond.daemon.steering.MeteredAdmission;
import io.masticpond.daemon.steering.MeteredDispatcher;
import io.masticpond.daemon.steering.PeerFallbackEntry;
import io.masticpond.daemon.steering.SteeringService;
import java.time.Duration;
import java.util.concurrent.Executors;
import javax.inject.Singleton;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Dagger module that provides the request path: selection, spending, admission, forwarding and
 * dispatch.
 *
 * @since 0.1
 */
@Module
public final class SteeringModule {

    /** One admitter for each availability zone; see docs/design/region-selection.md. */
    private static final ShardScope SCOPE = ShardScope.ZONE;

    /** Interval at which requests that wait for an allotment are charged again. */
    private static final Duration CHARGE_PERIOD = Duration.ofMillis(5);

    private SteeringModule() {}

    @Provides
    @Singleton
    static DefaultShardDirectory shardDirectory(DaemonSettings settings, TimeSource timeSource) {
        return new DefaultShardDirectory(
                settings.instance().id(), settings.instance().zone(), SCOPE, timeSource);
    }

    @Provides
    @Singleton
    static ConfiguredRegionSelector regionSelector(DaemonSettings settings, TimeSource timeSource) {
        return new ConfiguredRegionSelector(
                settings.instance().zone(), timeSource, RegionSelectorParameters.DEFAULT);
    }

    @Provides
    @Singleton
    static BackendClient backendClient(TimeSource timeSource) {
        return new BackendClient(timeSource, Executors.newCachedThreadPool());
    }

    @Provides
    @Singleton
    static AdmitterSteering admitterSteering(
            @SteeringThread EventLoop steeringLoop,
            DefaultShardDirectory directory,
            BackendClient client,
            DaemonMetrics metrics,
            TimeSource timeSource,
            Timeline timeline) {
        return new AdmitterSteering(
                steeringLoop::put,
                directory,
                new MeteredDispatcher(client, metrics.requests(), timeSource),
                (shard, sink) ->
                        new MeteredAdmission(
                                decided -> admission(shard, timeSource, decided, timeline),
                                sink,
                                metrics.requests(),
                                timeSource),
                timeline);
    }

    private static Admission admission(
            Shard shard, TimeSource timeSource, AdmissionSink sink, Timeline timeline) {
        return new DefaultAdmission(shard, AdmissionSettings.DEFAULT, timeSource, sink, timeline);
    }

    @Provides
    @Singleton
    static BackendHealthChecker backendHealthChecker(
            @SteeringThread EventLoop steeringLoop,
            AdmitterSteering admitter,
            TimeSource timeSource) {
        return new BackendHealthChecker(
                BackendHealthSettings.DEFAULT,
                timeSource,
                RandomSource.XO_RO_SHI_RO_128_PP.create(),
                (server, signal) -> steeringLoop.put(() -> admitter.observe(server, signal)));
    }

    @Provides
    @Singleton
    static BackendWatch backendWatch(DefaultShardDirectory directory, BackendHealthChecker health) {
        return new BackendWatch(directory, health);
    }

    @Provides
    @Singleton
    static SteeringService steeringService(
            @SteeringThread EventLoop steeringLoop,
            DefaultShardDirectory directory,
            ConfiguredRegionSelector selector,
            AdmitterSteering admitter) {
        return new SteeringService(steeringLoop, directory, selector, admitter);
    }

    @Provides
    @Singleton
    static LinkRemoteAdmitter remoteAdmitter(InstanceLinks links, TimeSource timeSource) {
        return new LinkRemoteAdmitter(links, timeSource);
    }

    @Provides
    @Singleton
    static ForwardReceiver forwardReceiver(
            @SteeringThread EventLoop steeringLoop,
            AdmitterSteering admitter,
            EntrySteering entry,
            RequestIntake intake,
            TimeSource timeSource) {
        return new ForwardReceiver(steeringLoop, admitter, entry, intake, timeSource);
    }

    @Provides
    @Singleton
    static PeerFallbackEntry peerFallbackEntry(
            EntrySteering entry,
            @SteeringThread EventLoop steeringLoop,
            TimeSource timeSource,
            DefaultShardDirectory directory,
            LinkRemoteAdmitter remote,
            RetryBudget retries) {
        return new PeerFallbackEntry(
                entry, steeringLoop::put, timeSource, directory, remote, retries);
    }

    @Provides
    @Singleton
    static RetryBudget retryBudget() {
        return new RetryBudget(RetryBudget.DEFAULT_SHARE, RetryBudget.DEFAULT_BURST);
    }

    @Provides
    @Singleton
    static EntrySteering entrySteering(
            @SteeringThread EventLoop steeringLoop,
            TimeSource timeSource,
            DaemonSettings settings,
            ConfigurationHolder configuration,
            ConfiguredRegionSelector selector,
            SpendingService spending,
            DefaultShardDirectory directory,
            AdmitterSteering admitter,
            LinkRemoteAdmitter remote,
            RetryBudget retries,
            DaemonMetrics metrics,
            Timeline timeline) {
        EntrySteering entry =
                new EntrySteering(
                        steeringLoop::put,
                        timeSource,
                        settings.instance().id(),
                        configuration::current,
                        new EntrySteering.EntryDecisions(selector, spending.gate(), retries),
                        directory,
                        admitter,
                        remote,
                        timeline);
        entry.setFurtherAttemptListener(metrics.requests()::recordFurtherAttempt);
        steeringLoop.schedulePeriodically(CHARGE_PERIOD, entry::advance);
        return entry;
    }
}
