package io.masticpond.daemon.lifecycle;

import java.time.Duration;

/**
 * Strategy interface for the operations that a planned stop requires from the rest of the daemon.
 *
 * @since 0.1
 */
public interface StoppableParts {

    /** Sets whether this instance is leaving, which is reported to peers and in look-ups. */
    void setLeaving(boolean leaving);

    /**
     * Returns the number of requests of callers and other instances that have not ended.
     *
     * @return the number of requests
     */
    long inFlight();

    /**
     * Refuses all new requests from now on, stating that they did not run, provided that no request
     * is in flight. The check and the refusal are one step: no request can begin between them.
     *
     * @return whether new requests are refused and no request is in flight
     */
    boolean refuseNewRequestsIfIdle();

    /** Refuses all new requests from now on, stating that they did not run. */
    void refuseNewRequests();

    /**
     * Hands over the stored outcomes of once-only operations to a peer and to the platform.
     *
     * @param timeout the maximum time to wait
     * @return whether all outcomes were accepted
     */
    boolean handOverOutcomes(Duration timeout);

    /**
     * Returns the remainders of the spending allotments to the platform.
     *
     * @param timeout the maximum time to wait
     * @return whether the platform accepted them
     */
    boolean returnAllotments(Duration timeout);
}
