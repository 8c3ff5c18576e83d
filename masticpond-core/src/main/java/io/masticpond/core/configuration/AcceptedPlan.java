package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;

/**
 * Accepted plan with the configuration version that it produced.
 *
 * @param plan the plan
 * @param version the version
 * @since 0.1
 */
public record AcceptedPlan(PlanId plan, ConfigurationVersion version) {

    /** Validates that both components are non-null. */
    public AcceptedPlan {
        Assert.notNull(plan, "A plan id");
        Assert.notNull(version, "A configuration version");
    }
}
