package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.operation.ClaimBatcher;
import io.masticpond.core.operation.ClaimLimits;
import io.masticpond.core.operation.HmacKeyAuthenticator;
import io.masticpond.core.operation.HomeClock;
import io.masticpond.core.operation.OperationKeyIssuer;
import io.masticpond.core.operation.OperationLimits;
import io.masticpond.core.operation.OperationRegistry;
import io.masticpond.core.operation.OutcomeBatcher;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.membership.MembershipService;
import io.masticpond.daemon.operation.AnswerSize;
import io.masticpond.daemon.operation.LinkOperationPeers;
import io.masticpond.daemon.operation.MemberHomeDirectory;
import io.masticpond.daemon.operation.OnceOnlyGuard;
import io.masticpond.daemon.operation.OperationHome;
import io.masticpond.daemon.operation.OperationReceiver;
import io.masticpond.daemon.operation.PlatformOperationArchive;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.settings.DaemonSettings;
import io.masticpond.daemon.steering.PeerFallbackEntry;
import java.time.Duration;
import java.util.random.RandomGenerator;
import javax.inject.Qualifier;
import javax.inject.Singleton;

/**
 * Dagger module that provides the operations that run at most once.
 *
 * @since 0.1
 */
@Module
public final class OperationModule {

    private static final int QUEUE_CAPACITY = 8_192;
    private static final int SECRET_BYTES = 32;
    private static final int MAXIMUM_OUTCOMES = 20_000;
    private static final Duration KEY_LIFETIME = Duration.ofMinutes(10);
    private static final Duration OUTCOME_INTERVAL = Duration.ofMillis(200);

    private OperationModule() {}

    /** Qualifier of the event loop that communicates with the platform about operations. */
    @Qualifier
    @interface OperationThread {}

    @Provides
    @Singleton
    @OperationThread
    static EventLoop operationThread(TimeSource timeSource) {
        return new EventLoop("operations", QUEUE_CAPACITY, timeSource);
    }

    @Provides
    @Singleton
    static MemberHomeDirectory memberHomes(Incarnation incarnation, MembershipService members) {
        return new MemberHomeDirectory(incarnation, () -> members.view().members());
    }

    @Provides
    @Singleton
    static PlatformOperationArchive platformOperationArchive(
            @OperationThread EventLoop operationLoop,
            @SteeringThread EventLoop steeringLoop,
            ObjectStore store,
            Incarnation incarnation,
            TimeSource timeSource,
            RandomGenerator random) {
        return new PlatformOperationArchive(
                operationLoop,
                store,
                incarnation,
                new ClaimBatcher(ClaimLimits.DEFAULT, timeSource, random),
                new OutcomeBatcher<>(
                        timeSource,
                        OUTCOME_INTERVAL,
                        ClaimLimits.DEFAULT.clockError(),
                        MAXIMUM_OUTCOMES),
                steeringLoop::put);
    }

    @Provides
    @Singleton
    static LinkOperationPeers operationPeers(
            DaemonSettings settings,
            InstanceLinks links,
            MemberHomeDirectory homes,
            TimeSource timeSource) {
        return new LinkOperationPeers(links, homes, settings.instance().id(), timeSource);
    }

    @Provides
    @Singleton
    static OnceOnlyGuard onceOnlyGuard(
            Incarnation incarnation,
            @SteeringThread EventLoop steeringLoop,
            PeerFallbackEntry entry,
            MemberHomeDirectory homes,
            LinkOperationPeers peers,
            PlatformOperationArchive archive,
            TimeSource timeSource,
            RandomGenerator random,
            Timeline timeline) {
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(secret);
        HomeClock clock = new HomeClock(timeSource);
        OperationKeyIssuer issuer =
                new OperationKeyIssuer(
                        incarnation, new HmacKeyAuthenticator(secret), clock, KEY_LIFETIME);
        return new OnceOnlyGuard(
                new OperationHome(
                        issuer,
                        new OperationRegistry<>(
                                issuer,
                                homes,
                                clock,
                                OperationLimits.DEFAULT,
                                AnswerSize::estimateBytes)),
                entry::submit,
                peers,
                archive,
                steeringLoop::put,
                timeline);
    }

    @Provides
    @Singleton
    static OperationReceiver operationReceiver(
            @SteeringThread EventLoop steeringLoop,
            OnceOnlyGuard guard,
            RequestIntake intake,
            TimeSource timeSource) {
        return new OperationReceiver(steeringLoop, guard, intake, timeSource);
    }
}
