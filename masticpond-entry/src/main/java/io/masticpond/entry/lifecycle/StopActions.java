package io.masticpond.entry.lifecycle;

/**
 * Strategy interface for the actions of a planned stop on the rest of the instance. Implementations
 * must not block.
 *
 * @since 0.2
 */
public interface StopActions {

    /** Reports to peers and in readiness checks that this instance is leaving. */
    void announceLeaving();

    /** Removes the record of this instance from the platform's store. */
    void withdrawRecord();

    /**
     * Stops accepting connections.
     *
     * @param onStopped runs on the thread of the planned stop once no connection can be added; the
     *     work that is open then includes every connection that was accepted
     */
    void stopAccepting(Runnable onStopped);

    /**
     * Closes connections without a request, and from now on each connection after its last answer.
     */
    void closeIdleConnections();

    /**
     * Answers the remaining requests truthfully: whether they may have run or were not run.
     * Requests that are read later are not run.
     *
     * @param onAnswered runs on the thread of the planned stop once all are answered
     */
    void answerUnfinished(Runnable onAnswered);

    /** Exits the process with the status of success. */
    void exit();
}
