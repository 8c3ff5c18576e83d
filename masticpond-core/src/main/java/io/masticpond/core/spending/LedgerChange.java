package io.masticpond.core.spending;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;

/**
 * Change of a ledger, conditional on the object still having the expected version.
 *
 * @param expectedVersion the version of the object at the platform, 0 if it must not exist
 * @param holder the incarnation that makes the change
 * @param sequence the number of the change
 * @param deltaMicros the amount allotted to the holder, or returned if negative
 * @param ledger the ledger after the change
 * @since 0.1
 */
public record LedgerChange(
        long expectedVersion,
        Incarnation holder,
        long sequence,
        long deltaMicros,
        SpendingLedger ledger) {

    /** Validates the components. */
    public LedgerChange {
        Assert.notNegative(expectedVersion, "An expected version");
        Assert.notNull(holder, "The holder of an allotment");
        Assert.positive(sequence, "The sequence of a change");
        Assert.notNull(ledger, "A ledger");
    }

    /**
     * Returns the key of the ledger to change.
     *
     * @return the key
     */
    public LedgerKey key() {
        return ledger.key();
    }

    /**
     * Determines whether a ledger shows that this change took effect and is the holder's latest
     * one.
     *
     * @param found the ledger as the platform holds it
     * @return whether the holder's holding is the one that this change produced
     */
    public boolean isAppliedIn(SpendingLedger found) {
        long allotted = ledger.holding(holder).orElseThrow().allottedMicros();
        return found.holding(holder)
                .filter(held -> held.sequence() == sequence)
                .filter(held -> held.allottedMicros() == allotted)
                .isPresent();
    }

    /**
     * Determines whether a later ledger may have compacted this change, so that its absence proves
     * nothing.
     *
     * @param found the ledger as the platform holds it
     * @return whether so many changes followed that the holding may have been compacted
     */
    public boolean mayBeCompactedIn(SpendingLedger found) {
        return found.revision() - ledger.revision() >= SpendingLedger.MAXIMUM_HOLDINGS - 1;
    }
}
