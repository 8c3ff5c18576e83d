package io.masticpond.entry.lifecycle;

/**
 * Strategy interface for querying the work that is not finished yet. May be called from the thread
 * of the planned stop.
 *
 * @since 0.2
 */
public interface OpenWork {

    /**
     * Returns the number of requests without a complete answer.
     *
     * @return the number of requests
     */
    int requests();

    /**
     * Returns the number of connections of clients.
     *
     * @return the number of connections
     */
    int connections();

    /**
     * Returns whether the removal from the platform's store is still pending.
     *
     * @return whether the removal is pending
     */
    boolean isWithdrawalPending();
}
