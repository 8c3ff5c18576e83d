package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.spending.AllotmentPolicy;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.operator.OperatorRoutes;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.spending.LedgerCodec;
import io.masticpond.daemon.spending.PlatformLedgers;
import io.masticpond.daemon.spending.SpendingRoutes;
import io.masticpond.daemon.spending.SpendingService;
import javax.inject.Singleton;

/**
 * Dagger module that provides spending: the accounts, confined to the steering thread, the ledgers
 * at the platform and the operator route.
 *
 * @since 0.1
 */
@Module
public final class SpendingModule {

    private SpendingModule() {}

    @Provides
    @Singleton
    static SpendingService spendingService(
            @SteeringThread EventLoop steeringLoop,
            ObjectStore store,
            Incarnation incarnation,
            TimeSource timeSource,
            Timeline timeline,
            DaemonMetrics metrics) {
        SpendingService spending =
                new SpendingService(
                        steeringLoop,
                        new PlatformLedgers(store, new LedgerCodec()),
                        incarnation,
                        AllotmentPolicy.DEFAULT,
                        timeSource,
                        timeline);
        spending.bindTo(metrics.spending(), timeSource);
        return spending;
    }

    @Provides
    @IntoSet
    static OperatorRoutes spendingRoutes(SpendingService spending, TimeSource timeSource) {
        return new SpendingRoutes(spending, timeSource);
    }
}
