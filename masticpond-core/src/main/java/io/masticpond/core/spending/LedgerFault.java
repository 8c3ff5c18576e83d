package io.masticpond.core.spending;

/**
 * Reason why an object at the platform cannot be used as a ledger.
 *
 * @param message one sentence
 * @since 0.1
 */
public record LedgerFault(String message) {}
