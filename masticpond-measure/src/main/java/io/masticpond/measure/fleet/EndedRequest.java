package io.masticpond.measure.fleet;

import io.masticpond.core.support.Assert;

/**
 * One request as its caller saw it end.
 *
 * @param service the service
 * @param ownKey whether it had the caller's own operation key, which only the platform can claim
 * @param address the instance that was asked last, as "ip:port"; empty if no look-up was answered
 * @param startNanos when it was begun, before its look-up, on the clock of {@code System.nanoTime}
 * @param endNanos when it ended, on the same clock
 * @param end {@link LoadStatistics#ANSWERED}, or why it was not answered
 * @since 0.1
 */
public record EndedRequest(
        String service,
        boolean ownKey,
        String address,
        long startNanos,
        long endNanos,
        String end) {

    /** Checks that all parts are given. */
    public EndedRequest {
        Assert.hasText(service, "A service");
        Assert.notNull(address, "An address");
        Assert.hasText(end, "An end");
        Assert.isTrue(endNanos - startNanos >= 0, "A request must not end before it begins.");
    }

    /**
     * Tells whether a backend server's answer came.
     *
     * @return whether it was answered
     */
    public boolean isAnswered() {
        return end.equals(LoadStatistics.ANSWERED);
    }
}
