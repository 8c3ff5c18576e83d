package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.lifecycle.PlannedStop;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.operator.DrainControl;
import io.masticpond.daemon.operator.HealthRoutes;
import io.masticpond.daemon.operator.OperatorRoutes;
import io.masticpond.daemon.operator.StatusRoutes;
import io.masticpond.daemon.settings.DaemonSettings;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import javax.inject.Singleton;

/**
 * Dagger module that provides the planned stop, drains and the status.
 *
 * @since 0.1
 */
@Module
public final class LifecycleModule {

    private LifecycleModule() {}

    @Provides
    @Singleton
    static RequestIntake requestIntake() {
        return new RequestIntake();
    }

    @Provides
    @Singleton
    static PlannedStop plannedStop(
            DaemonParts parts, DaemonSettings settings, TimeSource timeSource, Timeline timeline) {
        return new PlannedStop(
                parts,
                timeSource,
                timeline,
                Duration.ofMillis(settings.caller().lookupCacheMillis()),
                Duration.ofMillis(settings.steering().drainMillis()),
                duration -> LockSupport.parkNanos(duration.toNanos()));
    }

    @Provides
    @IntoSet
    static OperatorRoutes statusRoutes(
            DaemonSettings settings, DaemonStatus status, PlannedStop stop) {
        return new StatusRoutes(settings.instance().id(), status, drainControl(stop));
    }

    @Provides
    @IntoSet
    static OperatorRoutes healthRoutes(DaemonStatus status) {
        return new HealthRoutes(status);
    }

    private static DrainControl drainControl(PlannedStop stop) {
        return new DrainControl() {
            @Override
            public void drain() {
                stop.drain();
            }

            @Override
            public boolean undrain() {
                return stop.undrain();
            }
        };
    }
}
