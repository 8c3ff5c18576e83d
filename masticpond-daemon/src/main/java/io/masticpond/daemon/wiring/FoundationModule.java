package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.caller.RequestIdGenerator;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.metrics.DaemonMetrics;
import io.masticpond.daemon.platform.PlatformObserver;
import io.masticpond.daemon.settings.DaemonSettings;
import java.security.SecureRandom;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;

/**
 * Dagger module that provides clocks, ids, random numbers and the steering event loop.
 *
 * @since 0.1
 */
@Module
public final class FoundationModule {

    private FoundationModule() {}

    @Provides
    @Singleton
    static TimeSource timeSource() {
        return new SystemTimeSource();
    }

    @Provides
    @Singleton
    static Incarnation incarnation(DaemonSettings settings, TimeSource timeSource) {
        return new Incarnation(settings.instance().id(), timeSource.millis());
    }

    @Provides
    @Singleton
    static RandomGenerator randomGenerator() {
        return new SecureRandom();
    }

    @Provides
    static PlatformObserver platformObserver(DaemonMetrics metrics) {
        return metrics.platform();
    }

    @Provides
    @Singleton
    static RequestIdGenerator requestIdSource(RandomGenerator random) {
        return new RequestIdGenerator(random.nextLong());
    }

    @Provides
    @Singleton
    @SteeringThread
    static EventLoop steeringEventLoop(
            DaemonSettings settings, TimeSource timeSource, DaemonMetrics metrics) {
        EventLoop eventLoop =
                new EventLoop("steering", settings.steering().ringCapacity(), timeSource);
        metrics.control().watchQueue("steering", eventLoop::rejectedCount, eventLoop::queuedCount);
        return eventLoop;
    }
}
