package io.masticpond.daemon.wiring;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelineRing;
import io.masticpond.daemon.logging.Logging;
import io.masticpond.daemon.logging.LoggingRoutes;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.metrics.MetricsRoutes;
import io.masticpond.daemon.operator.OperatorRoutes;
import io.masticpond.daemon.timeline.TimelineRoutes;
import javax.inject.Singleton;

/**
 * Dagger module that provides the timeline, the metrics, the logging and their operator routes.
 *
 * @since 0.1
 */
@Module
public abstract class ObservationModule {

    @Provides
    @Singleton
    static HybridLogicalClock hybridLogicalClock(TimeSource timeSource) {
        return new HybridLogicalClock(timeSource);
    }

    @Provides
    @Singleton
    static TimelineRing timelineRing(Incarnation incarnation, HybridLogicalClock clock) {
        return new TimelineRing(
                incarnation.instance(), clock, TimelineRing.DEFAULT_CAPACITY_PER_PART);
    }

    /** Binds the timeline of all parts to the ring. */
    @Binds
    abstract Timeline timeline(TimelineRing ring);

    @Provides
    @Singleton
    static DaemonMetrics daemonMetrics(
            TimeSource timeSource, HybridLogicalClock clock, TimelineRing ring) {
        DaemonMetrics metrics = new DaemonMetrics(timeSource);
        metrics.control().watchTimeline(clock, ring);
        return metrics;
    }

    @Provides
    @IntoSet
    static OperatorRoutes timelineRoutes(
            Incarnation incarnation, HybridLogicalClock clock, TimelineRing ring) {
        return new TimelineRoutes(incarnation, clock, ring);
    }

    @Provides
    @IntoSet
    static OperatorRoutes metricsRoutes(DaemonMetrics metrics, HeadroomScrape refresh) {
        return new MetricsRoutes(metrics, refresh);
    }

    @Provides
    @IntoSet
    static OperatorRoutes loggingRoutes(Logging logging) {
        return new LoggingRoutes(logging);
    }
}
