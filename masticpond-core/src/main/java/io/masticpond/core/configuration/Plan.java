package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import java.time.Instant;
import java.util.List;

/**
 * Plan for an operator's intent with the predicted effects. Nothing changes until the plan is
 * confirmed.
 *
 * @param id the plan
 * @param base the version on which the plan was made; it can be confirmed on this version only
 * @param change the change that is written when the plan is confirmed
 * @param differences the differences to the base
 * @param loads the predicted load of each service in each region
 * @param spendings the predicted spending of each shift
 * @param warnings the warnings that the operator should consider, one sentence each
 * @param operator the name of the operator's token
 * @param expires the wall clock time until which the plan can be confirmed
 * @since 0.1
 */
public record Plan(
        PlanId id,
        ConfigurationVersion base,
        ConfigurationChange change,
        List<ConfigurationDifference> differences,
        List<PredictedLoad> loads,
        List<PredictedSpending> spendings,
        List<String> warnings,
        String operator,
        Instant expires) {

    /** Validates the components and copies the lists. */
    public Plan {
        Assert.notNull(id, "A plan id");
        Assert.notNull(base, "A configuration version");
        Assert.notNull(change, "A configuration change");
        differences = ConfigurationContent.copyOf(differences);
        loads = ConfigurationContent.copyOf(loads);
        spendings = ConfigurationContent.copyOf(spendings);
        warnings = ConfigurationContent.copyOf(warnings);
        Assert.notNull(operator, "The name of an operator");
        Assert.notNull(expires, "A time of expiry");
    }
}
