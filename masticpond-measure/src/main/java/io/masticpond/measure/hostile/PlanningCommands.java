package io.masticpond.measure.hostile;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.configuration.ConfigurationPlanner;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.configuration.PlanObservations;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.daemon.configuration.ConfigurationCommands;
import io.masticpond.daemon.configuration.ConfigurationError;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * Configuration commands that compute plans but store none, so that every lookup of a plan fails.
 */
final class PlanningCommands implements ConfigurationCommands {

    private final ConfigurationPlanner mPlanner = new ConfigurationPlanner(PlanObservations.NONE);

    @Override
    public CompletableFuture<Either<ConfigurationError, Plan>> plan(
            ConfigurationIntent intent, String operator) {
        return CompletableFuture.completedFuture(
                mPlanner.plan(
                                intent,
                                Configuration.EMPTY,
                                new PlanId("plan"),
                                operator,
                                Instant.EPOCH)
                        .mapLeft(ConfigurationError.Invalid::new));
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, Plan>> find(PlanId plan) {
        return CompletableFuture.completedFuture(
                Either.left(new ConfigurationError.UnknownPlan(plan)));
    }

    @Override
    public CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> confirm(
            PlanId plan, String operator) {
        return CompletableFuture.completedFuture(
                Either.left(new ConfigurationError.UnknownPlan(plan)));
    }

    @Override
    public Configuration current() {
        return Configuration.EMPTY;
    }
}
