package io.masticpond.daemon.wiring;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import io.masticpond.core.configuration.ConfigurationPlanner;
import io.masticpond.core.configuration.PlanObservations;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.daemon.configuration.ConfigurationHolder;
import io.masticpond.daemon.configuration.ConfigurationPeers;
import io.masticpond.daemon.configuration.ConfigurationService;
import io.masticpond.daemon.configuration.DefaultConfigurationCommands;
import io.masticpond.daemon.operator.ConfigurationRoutes;
import io.masticpond.daemon.operator.OperatorRoutes;
import io.masticpond.daemon.operator.OperatorServer;
import io.masticpond.daemon.operator.OperatorSettings;
import io.masticpond.daemon.operator.OperatorToken;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.settings.DaemonSettings;
import io.masticpond.daemon.spending.SpendingPlanObservations;
import io.masticpond.daemon.spending.SpendingService;
import java.util.List;
import java.util.Set;
import javax.inject.Singleton;

/**
 * Dagger module that provides the configuration and the interface for operators.
 *
 * @since 0.1
 */
@Module
public final class ConfigurationModule {

    private ConfigurationModule() {}

    @Provides
    @Singleton
    static ConfigurationHolder configurationHolder() {
        return new ConfigurationHolder();
    }

    @Provides
    @Singleton
    static ConfigurationCodec configurationCodec() {
        return new ConfigurationCodec();
    }

    @Provides
    @Singleton
    static ConfigurationService configurationService(
            DaemonSettings settings,
            ObjectStore store,
            ConfigurationPeers peers,
            ConfigurationHolder holder,
            ConfigurationCodec codec,
            TimeSource timeSource,
            Timeline timeline) {
        return new ConfigurationService(
                settings.instance().id(),
                settings.instance().zone(),
                store,
                peers,
                holder,
                codec,
                timeSource,
                timeline);
    }

    @Provides
    @Singleton
    static DefaultConfigurationCommands configurationCommands(
            ConfigurationService service,
            ConfigurationHolder holder,
            ObjectStore store,
            ConfigurationCodec codec,
            TimeSource timeSource,
            Timeline timeline,
            SpendingService spending) {
        PlanObservations observations =
                new SpendingPlanObservations(spending, timeSource, PlanObservations.NONE);
        return new DefaultConfigurationCommands(
                service,
                holder,
                new ConfigurationPlanner(observations),
                store,
                codec,
                timeSource,
                timeline);
    }

    @Provides
    @IntoSet
    static OperatorRoutes configurationRoutes(
            DefaultConfigurationCommands commands, ConfigurationCodec codec) {
        return new ConfigurationRoutes(commands, codec);
    }

    @Provides
    @Singleton
    static OperatorServer operatorServer(DaemonSettings settings, Set<OperatorRoutes> routes) {
        String address = settings.operator().address();
        int colon = address.lastIndexOf(':');
        List<OperatorToken> tokens =
                settings.operator().tokens().stream()
                        .map(token -> new OperatorToken(token.name(), token.value()))
                        .toList();
        return new OperatorServer(
                new OperatorSettings(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)),
                        tokens,
                        OperatorSettings.DEFAULT_MAXIMUM_BODY_BYTES),
                routes);
    }
}
