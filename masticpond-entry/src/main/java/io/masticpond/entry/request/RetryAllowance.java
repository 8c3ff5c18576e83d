package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;

/**
 * This instance's share of the budget of each service for sends beyond the first of a request.
 *
 * @since 0.2
 */
public interface RetryAllowance {

    /**
     * Counts a request of a client for a service, sent on or not.
     *
     * @param service the service
     * @param nowNanos the monotonic time
     */
    void firstAttempt(ServiceId service, long nowNanos);

    /**
     * Takes one more send of a request out of the budget.
     *
     * @param service the service
     * @param nowNanos the monotonic time
     * @return whether there was enough left
     */
    boolean tryRetry(ServiceId service, long nowNanos);

    /**
     * Tells what is left.
     *
     * @param service the service
     * @param nowNanos the monotonic time
     * @return how many more sends are allowed now
     */
    double left(ServiceId service, long nowNanos);
}
