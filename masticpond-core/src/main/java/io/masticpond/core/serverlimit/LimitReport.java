package io.masticpond.core.serverlimit;

import io.masticpond.core.support.Assert;

/**
 * What a backend server said of its limit, as one instance tells it to others.
 *
 * @param serverHash the hash of the server's id, by which all instances know it
 * @param perSecond the requests a second that it takes from all instances; infinite if it has
 *     lifted its limit
 * @param sentAgoNanos how long ago the request was sent whose answer said so
 * @param receivedAgoNanos how long ago that answer arrived
 * @since 0.2
 */
public record LimitReport(
        long serverHash, double perSecond, long sentAgoNanos, long receivedAgoNanos) {

    /** Checks that the parts are in range. */
    public LimitReport {
        Assert.isTrue(perSecond >= 0, "A limit must not be negative, but was %s.", perSecond);
        Assert.notNegative(receivedAgoNanos, "An age");
        Assert.isTrue(sentAgoNanos >= receivedAgoNanos, "A request is sent before its answer.");
    }
}
