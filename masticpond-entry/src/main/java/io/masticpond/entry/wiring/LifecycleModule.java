package io.masticpond.entry.wiring;

import dagger.Module;
import dagger.Provides;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.control.ControlHandler;
import io.masticpond.entry.control.ControlSources;
import io.masticpond.entry.control.LoadSources;
import io.masticpond.entry.lifecycle.Readiness;
import io.masticpond.entry.log.RecentDecisions;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.replica.FleetReplica;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import javax.inject.Singleton;

/** Dagger module of the readiness of an instance and of its handler for operators. */
@Module
final class LifecycleModule {

    private LifecycleModule() {}

    @Provides
    @Singleton
    static Readiness readiness(FleetReplica replica, EntryListeners listeners, StopSwitch stop) {
        return new Readiness(replica::isUsable, listeners::isListening, stop::isStopping);
    }

    @Provides
    @Singleton
    static LoadSources loadSources(LoadControlActivation activation) {
        return new LoadSources(activation);
    }

    /**
     * Creates the handler for operators. It is created only where the settings name its listening
     * address, so the port is present.
     */
    @Provides
    @Singleton
    static ControlHandler controlHandler(
            TimeSource timeSource,
            PeerInstance self,
            EntrySettings settings,
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            RequestFlow flow,
            SharedLimits limits,
            LoadSources loads,
            ControlComponents controlComponents,
            Readiness readiness,
            StopSwitch stop,
            RecentDecisions decisions,
            MetricsHandler metrics) {
        ControlSources sources =
                new ControlSources(
                        timeSource,
                        self,
                        settings.listeners().metrics().orElseThrow().port(),
                        traffic,
                        control,
                        flow,
                        limits,
                        loads,
                        controlComponents.replica(),
                        controlComponents.heartbeats(),
                        readiness::isReady,
                        stop::isStopping,
                        decisions);
        return new ControlHandler(sources, metrics);
    }
}
