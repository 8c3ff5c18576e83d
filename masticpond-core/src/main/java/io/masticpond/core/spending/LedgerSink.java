package io.masticpond.core.spending;

/**
 * Makes the calls that accounts ask for; each is answered once, later, and not from within the
 * method.
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
     * Makes a change by conditional update, once.
     *
     * @param change the change
     */
    void write(LedgerChange change);
}
