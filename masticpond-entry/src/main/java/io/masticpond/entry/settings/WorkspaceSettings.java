package io.masticpond.entry.settings;

import io.masticpond.core.limit.SharedRateSettings;
import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of how strictly the keys and rates of workspaces are enforced.
 *
 * @param strictRevocation whether a revoked key must not work anywhere once the bound has passed,
 *     including at instances that have lost the store; these then accept no requests with keys
 * @param revocation the bound, counted from the acknowledgement
 * @param proofMargin how much earlier a proof that the keys are current expires, to allow for
 *     clocks that run at different speeds
 * @param rates the bound of the rates
 * @since 0.2
 */
public record WorkspaceSettings(
        boolean strictRevocation,
        Duration revocation,
        Duration proofMargin,
        SharedRateSettings rates) {

    /** Default settings, which apply if a platform specifies none. */
    public static final WorkspaceSettings DEFAULT =
            new WorkspaceSettings(
                    false,
                    Duration.ofSeconds(5),
                    Duration.ofMillis(250),
                    SharedRateSettings.DEFAULT);

    /** Validates that the margin leaves time for a proof. */
    public WorkspaceSettings {
        Assert.notNegative(proofMargin.toNanos(), "The margin of a proof");
        Assert.isTrue(
                proofMargin.compareTo(revocation) < 0,
                "The margin of a proof must be below the bound of revocation.");
        Assert.notNull(rates, "The bound of rates");
    }

    /**
     * Returns how long a proof is valid.
     *
     * @return the bound minus the margin
     */
    public Duration proofLimit() {
        return revocation.minus(proofMargin);
    }
}
