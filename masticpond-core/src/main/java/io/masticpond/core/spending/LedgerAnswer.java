package io.masticpond.core.spending;

import java.util.Optional;

/**
 * Answer of the platform to a call for a ledger.
 *
 * @since 0.1
 */
public sealed interface LedgerAnswer {

    /**
     * The ledger was read.
     *
     * @param ledger the ledger with its version, or empty if it does not exist yet
     */
    record Found(Optional<VersionedLedger> ledger) implements LedgerAnswer {}

    /**
     * The change took effect.
     *
     * @param version the new version of the object
     */
    record Written(long version) implements LedgerAnswer {}

    /**
     * The change had no effect, because the object has another version.
     *
     * @param current the current ledger, or empty if it is not known
     */
    record Conflicted(Optional<VersionedLedger> current) implements LedgerAnswer {}

    /** The answer to a change was lost: the change may have taken effect, or may still do so. */
    record Uncertain() implements LedgerAnswer {}

    /** The platform cannot be reached; a change had no effect. */
    record Unavailable() implements LedgerAnswer {}

    /**
     * The object is not a ledger of this service and shift.
     *
     * @param reason one sentence
     */
    record Unreadable(String reason) implements LedgerAnswer {}
}
