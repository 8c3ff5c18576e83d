package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * Log entry with the change from the preceding version to one version.
 *
 * @param version the version that results from the change
 * @param plan the plan from which it was written
 * @param change the change
 * @since 0.1
 */
public record ConfigurationLogEntry(
        ConfigurationVersion version, PlanId plan, ConfigurationChange change) {

    /** Validates that all components are non-null. */
    public ConfigurationLogEntry {
        Assert.notNull(version, "A configuration version");
        Assert.notNull(plan, "A plan id");
        Assert.notNull(change, "A configuration change");
    }

    /**
     * Applies the change to the preceding configuration.
     *
     * @param before the configuration of the preceding version
     * @return the configuration of this version
     */
    public Configuration applyTo(Configuration before) {
        Assert.isTrue(
                before.version().next().equals(version),
                "The step to version %s does not follow version %s.",
                version,
                before.version());
        return new Configuration(version, Optional.of(plan), change.applyTo(before.content()));
    }
}
