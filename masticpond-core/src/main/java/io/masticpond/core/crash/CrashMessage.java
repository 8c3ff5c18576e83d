package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;

/**
 * What instances tell each other of a request under which backend servers end. Times are told as
 * ages, since the clocks of instances have nothing in common.
 *
 * @since 0.2
 */
public sealed interface CrashMessage {

    /**
     * Gives the request.
     *
     * @return its fingerprint
     */
    RequestFingerprint request();

    /**
     * A server ended while the request was at work there.
     *
     * @param request the request
     * @param serverHash the hash of the server's id
     * @param sentAgoNanos how long ago the request was sent to it
     * @param endedAgoNanos how long ago the send ended without an answer, at most as long
     */
    record ServerEnd(
            RequestFingerprint request, long serverHash, long sentAgoNanos, long endedAgoNanos)
            implements CrashMessage {

        /** Checks the times. */
        public ServerEnd {
            Assert.isTrue(endedAgoNanos >= 0, "An end lies in the past.");
            Assert.isTrue(sentAgoNanos >= endedAgoNanos, "A request is sent before it ends.");
        }
    }

    /**
     * What the teller has found out by itself.
     *
     * @param request the request
     * @param ends how many servers ended one after the other under it
     * @param rejections how often it was rejected for that, 0 if it is only suspected
     * @param agoNanos how long ago it was rejected, or suspected
     */
    record Verdict(RequestFingerprint request, int ends, int rejections, long agoNanos)
            implements CrashMessage {

        /** Checks the numbers. */
        public Verdict {
            Assert.notNegative(ends, "A number of ends");
            Assert.notNegative(rejections, "A number of rejections");
            Assert.isTrue(agoNanos >= 0, "A verdict lies in the past.");
        }
    }

    /**
     * The request was answered, or an operator released it: what was found out before is over.
     *
     * @param request the request
     */
    record Clearance(RequestFingerprint request) implements CrashMessage {}
}
