package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.caller.CallerServer;
import io.masticpond.daemon.caller.CallerService;
import io.masticpond.daemon.caller.RequestIdGenerator;
import io.masticpond.daemon.configuration.ConfigurationHolder;
import io.masticpond.daemon.configuration.ConfigurationService;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.gateway.LookupTable;
import io.masticpond.daemon.gateway.MeteredCallerService;
import io.masticpond.daemon.gateway.RequestGateway;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.operation.OnceOnlyGuard;
import io.masticpond.daemon.settings.DaemonSettings;
import io.masticpond.daemon.steering.PeerFallbackEntry;
import java.time.Duration;
import javax.inject.Singleton;

/**
 * Dagger module that provides the interface for callers.
 *
 * @since 0.1
 */
@Module
public final class CallerModule {

    private CallerModule() {}

    @Provides
    @Singleton
    static LookupTable lookupTable(DaemonSettings settings) {
        return new LookupTable(
                settings.instance().zone(),
                Duration.ofMillis(settings.caller().lookupCacheMillis()));
    }

    @Provides
    @Singleton
    static RequestGateway requestGateway(
            @SteeringThread EventLoop steeringLoop,
            DaemonSettings settings,
            ConfigurationHolder configuration,
            ConfigurationService configurationService,
            LookupTable lookups,
            PeerFallbackEntry entry,
            OnceOnlyGuard guard,
            RequestIntake intake) {
        return new RequestGateway(
                intake,
                steeringLoop,
                settings.instance().zone(),
                configuration::current,
                lookups,
                entry,
                guard,
                configurationService::onVersionSeen);
    }

    @Provides
    @Singleton
    static CallerServer callerServer(
            DaemonSettings settings,
            RequestGateway gateway,
            DaemonMetrics metrics,
            RequestIdGenerator ids,
            RequestIntake intake,
            TimeSource timeSource) {
        CallerService metered = new MeteredCallerService(gateway, metrics.requests(), timeSource);
        return new CallerServer(settings.caller(), metered, ids, intake, timeSource);
    }
}
