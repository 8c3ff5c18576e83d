package io.masticpond.entry.wiring;

import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.FleetSnapshotLog;
import io.masticpond.entry.log.LineCounts;
import io.masticpond.entry.log.RecentDecisions;
import io.masticpond.entry.metrics.EntryMetrics;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import javax.inject.Singleton;

/** Dagger module of the threads, the identity, the metrics and the log of the process. */
@Module
final class ProcessModule {

    private ProcessModule() {}

    @Provides
    @Singleton
    @TrafficThread
    static EventLoopGroup trafficGroup() {
        return group("traffic");
    }

    @Provides
    @Singleton
    @ControlThread
    static EventLoopGroup controlGroup() {
        return group("control");
    }

    @Provides
    @Singleton
    @TrafficThread
    static EventLoop traffic(@TrafficThread EventLoopGroup group) {
        return group.next();
    }

    @Provides
    @Singleton
    @ControlThread
    static EventLoop control(@ControlThread EventLoopGroup group) {
        return group.next();
    }

    @Provides
    @Singleton
    static PeerInstance self(EntrySettings settings, TimeSource timeSource) {
        return new PeerInstance(
                settings.instance(),
                timeSource.instant().toEpochMilli(),
                settings.zone(),
                settings.region(),
                settings.listeners().entry(),
                settings.listeners().internal(),
                false,
                0);
    }

    /**
     * Creates the metrics. The collector is resolved at the first scrape, since it depends on most
     * other parts.
     */
    @Provides
    @Singleton
    static EntryMetrics metrics(LineCounts lines, Lazy<EntryMetricsCollector> collector) {
        return new EntryMetrics(lines, values -> collector.get().set(values));
    }

    @Provides
    @Singleton
    static RecentDecisions decisions(@WrittenLog DecisionLog log, TimeSource timeSource) {
        return new RecentDecisions(log, timeSource);
    }

    @Provides
    @Singleton
    static DecisionLog log(EntryMetrics metrics, RecentDecisions decisions) {
        return metrics.counting(decisions);
    }

    @Provides
    @Singleton
    static FleetSnapshotLog snapshotLog(RecentDecisions decisions) {
        return new FleetSnapshotLog(decisions);
    }

    private static EventLoopGroup group(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }
}
