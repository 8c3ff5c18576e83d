package io.masticpond.core.spending;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;

/**
 * Spending cap with the version of the configuration that specifies it. Of two caps, the one of the
 * later configuration applies.
 *
 * @param micros the cap in millionths of the operators' currency unit
 * @param version the configuration
 * @since 0.1
 */
public record SpendingCap(long micros, ConfigurationVersion version) {

    /** Validates the components. */
    public SpendingCap {
        Assert.notNegative(micros, "A spending cap");
        Assert.notNull(version, "A configuration version");
    }
}
