package io.masticpond.core.serverlimit;

import io.masticpond.core.support.Assert;

/**
 * Report of a backend server's limit, as one instance sends it to others.
 *
 * @param serverHash the hash of the server's id, which identifies the server on all instances
 * @param perSecond the requests per second that the server accepts from all instances together;
 *     infinite if it has lifted its limit
 * @param sentAgoNanos the time in nanoseconds since the request was sent whose answer stated the
 *     limit
 * @param receivedAgoNanos the time in nanoseconds since that answer arrived
 * @since 0.2
 */
public record LimitReport(
        long serverHash, double perSecond, long sentAgoNanos, long receivedAgoNanos) {

    /** Validates the ranges of the components. */
    public LimitReport {
        Assert.isTrue(perSecond >= 0, "A limit must not be negative, but was %s.", perSecond);
        Assert.notNegative(receivedAgoNanos, "An age");
        Assert.isTrue(sentAgoNanos >= receivedAgoNanos, "A request is sent before its answer.");
    }
}
