package io.masticpond.core.configuration;

import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Planner that creates plans from intents. Thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationPlanner {

    private final PlanObservations mObservations;

    /**
     * Creates a planner.
     *
     * @param observations the observations of load and spending
     */
    public ConfigurationPlanner(PlanObservations observations) {
        mObservations = Assert.notNull(observations, "Observations");
    }

    /**
     * Creates a plan from an intent.
     *
     * @param intent the operator's intent
     * @param base the configuration on which the plan is based
     * @param id the id of the plan
     * @param operator the name of the operator's token
     * @param expires the time until which the plan can be confirmed
     * @return the plan, or all errors of the content that would result from it
     */
    public Either<List<ConfigurationFault>, Plan> plan(
            ConfigurationIntent intent,
            Configuration base,
            PlanId id,
            String operator,
            Instant expires) {
        ConfigurationContent before = base.content();
        ConfigurationChange change = ConfigurationChange.between(before, intent.resultOn(before));
        ConfigurationContent after = change.applyTo(before);
        List<ConfigurationFault> faults = new ArrayList<>(intent.faults());
        faults.addAll(ConfigurationValidator.validate(intent.resultOn(before)));
        if (!faults.isEmpty()) {
            return Either.left(faults);
        }
        Configuration planned = new Configuration(base.version().next(), Optional.of(id), after);
        PlanPredictor predictor = new PlanPredictor(base, planned, mObservations);
        List<PredictedLoad> loads = predictor.loads();
        List<PredictedSpending> spendings = predictor.spendings();
        return Either.right(
                new Plan(
                        id,
                        base.version(),
                        change,
                        ConfigurationDifferences.between(before, after),
                        loads,
                        spendings,
                        predictor.warnings(),
                        operator,
                        expires));
    }
}
