package io.masticpond.core.spending;

/**
 * Receiver of the platform calls that accounts request. Each call is answered exactly once, later,
 * and not from within the method.
 *
 * @since 0.1
 * @see DefaultSpendingGate#onAnswer
 */
public interface LedgerSink {

    /**
     * Reads a ledger.
     *
     * @param key the ledger
     */
    void read(LedgerKey key);

    /**
     * Makes a change by one conditional update.
     *
     * @param change the change
     */
    void write(LedgerChange change);
}
