package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;

/**
 * Strategy interface for this instance's share of the retry budget of each service. A retry is any
 * attempt of a request after its first.
 *
 * @since 0.2
 */
public interface RetryAllowance {

    /**
     * Records a request of a client for a service, whether or not it is sent to a server.
     *
     * @param service the service
     * @param nowNanos the monotonic time
     */
    void recordFirstAttempt(ServiceId service, long nowNanos);

    /**
     * Tries to take one retry of a request out of the budget.
     *
     * @param service the service
     * @param nowNanos the monotonic time
     * @return whether the budget allowed the retry
     */
    boolean tryRetry(ServiceId service, long nowNanos);

    /**
     * Returns what is left of the budget.
     *
     * @param service the service
     * @param nowNanos the monotonic time
     * @return the number of retries that are allowed now
     */
    double remainingRetries(ServiceId service, long nowNanos);
}
