package io.masticpond.measure.fleet;

import io.masticpond.core.support.Assert;

/**
 * Completed request as its caller observed it.
 *
 * @param service the id of the service
 * @param callerKey whether its operation key was chosen by the caller; only the platform can claim
 *     such a key
 * @param address the instance to which it was sent last, as "ip:port"; empty if no look-up was
 *     answered
 * @param startNanos the time at which it began, before its look-up, from {@link System#nanoTime}
 * @param endNanos the time at which it ended, from {@link System#nanoTime}
 * @param outcome {@link LoadStatistics#ANSWERED}, or the reason why it was not answered
 * @since 0.1
 */
public record CompletedRequest(
        String service,
        boolean callerKey,
        String address,
        long startNanos,
        long endNanos,
        String outcome) {

    /** Checks that all components are present and that the times are in order. */
    public CompletedRequest {
        Assert.hasText(service, "A service");
        Assert.notNull(address, "An address");
        Assert.hasText(outcome, "An outcome");
        Assert.isTrue(endNanos - startNanos >= 0, "A request must not end before it begins.");
    }

    /**
     * Determines whether a backend server answered the request.
     *
     * @return {@code true} if it was answered
     */
    public boolean isAnswered() {
        return outcome.equals(LoadStatistics.ANSWERED);
    }
}
