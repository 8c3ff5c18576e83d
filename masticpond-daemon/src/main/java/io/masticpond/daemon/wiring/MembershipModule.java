package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.membership.MembershipTimings;
import io.masticpond.core.membership.OwnState;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.configuration.ConfigurationPeers;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.membership.MembershipService;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.settings.DaemonSettings;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;

/**
 * Dagger module that provides the membership.
 *
 * @since 0.1
 */
@Module
public final class MembershipModule {

    private MembershipModule() {}

    @Provides
    @Singleton
    static MembershipService membershipService(
            DaemonSettings settings,
            Incarnation incarnation,
            InstanceLinks links,
            ObjectStore store,
            HybridLogicalClock clock,
            Timeline timeline,
            TimeSource timeSource,
            RandomGenerator random) {
        return new MembershipService(
                new OwnState(
                        incarnation,
                        settings.instance().zone(),
                        settings.link().address(),
                        settings.caller().address(),
                        settings.operator().address()),
                settings.link().seeds(),
                MembershipTimings.DEFAULT,
                links,
                store,
                clock,
                timeline,
                timeSource,
                random.nextLong());
    }

    @Provides
    @Singleton
    static ConfigurationPeers configurationPeers(
            DaemonSettings settings, InstanceLinks links, MembershipService members) {
        return new LinkConfigurationPeers(
                settings.instance().id(), links, () -> members.view().members());
    }
}
