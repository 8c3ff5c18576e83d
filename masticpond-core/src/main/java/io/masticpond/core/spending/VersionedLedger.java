package io.masticpond.core.spending;

import io.masticpond.core.support.Assert;

/**
 * Ledger with its version as read from the platform.
 *
 * @param version the version of the object, positive
 * @param ledger the ledger
 * @since 0.1
 */
public record VersionedLedger(long version, SpendingLedger ledger) {

    /** Validates the components. */
    public VersionedLedger {
        Assert.positive(version, "The version of an object");
        Assert.notNull(ledger, "A ledger");
    }
}
