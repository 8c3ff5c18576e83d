package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/**
 * Commands of operators on the configuration. Thread-safe; the returned futures never complete
 * exceptionally.
 *
 * @since 0.1
 */
public interface ConfigurationCommands {

    /**
     * Creates a plan and stores it at the platform, so that every instance can confirm it.
     *
     * @param intent the change that the operator requests
     * @param operator the name of the operator's token
     * @return the plan, or the reason why none was created
     */
    CompletableFuture<Either<ConfigurationError, Plan>> plan(
            ConfigurationIntent intent, String operator);

    /**
     * Reads a stored plan.
     *
     * @param plan the plan
     * @return the plan, or the reason why it cannot be read
     */
    CompletableFuture<Either<ConfigurationError, Plan>> find(PlanId plan);

    /**
     * Confirms a plan. Confirming the same plan again returns the same version.
     *
     * @param plan the plan
     * @param operator the name of the operator's token
     * @return the version that the plan became, or the reason why it was not accepted
     */
    CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> confirm(
            PlanId plan, String operator);

    /**
     * Returns the configuration in force at this instance.
     *
     * @return the configuration
     */
    Configuration current();
}
