package io.masticpond.core.crash;

import io.masticpond.core.support.Assert;

/**
 * Message between instances about a request during which backend servers ended. Times are sent as
 * ages, since the monotonic clocks of instances are unrelated.
 *
 * @since 0.2
 */
public sealed interface CrashMessage {

    /**
     * Returns the request of the message.
     *
     * @return its fingerprint
     */
    RequestFingerprint request();

    /**
     * A server ended while it was processing the request.
     *
     * @param request the request
     * @param serverHash the hash of the server's id
     * @param sentAgoNanos the time since the request was sent to it
     * @param endedAgoNanos the time since the send ended without an answer, at most {@code
     *     sentAgoNanos}
     */
    record ServerEnd(
            RequestFingerprint request, long serverHash, long sentAgoNanos, long endedAgoNanos)
            implements CrashMessage {

        /** Validates the times. */
        public ServerEnd {
            Assert.isTrue(endedAgoNanos >= 0, "The end of a server must be in the past.");
            Assert.isTrue(
                    sentAgoNanos >= endedAgoNanos, "A request must be sent before its send ends.");
        }
    }

    /**
     * Conclusion that the sender has reached by itself.
     *
     * @param request the request
     * @param ends the number of servers that ended one after the other while processing it
     * @param rejections the number of times it was rejected for that, 0 if it is only suspected
     * @param agoNanos the time since it was rejected or suspected
     */
    record Verdict(RequestFingerprint request, int ends, int rejections, long agoNanos)
            implements CrashMessage {

        /** Validates the numbers. */
        public Verdict {
            Assert.notNegative(ends, "A number of ends");
            Assert.notNegative(rejections, "A number of rejections");
            Assert.isTrue(agoNanos >= 0, "A verdict must be in the past.");
        }
    }

    /**
     * A server that was reported to have ended accepts connections of the sender, so only the
     * connections of the reporter were cut.
     *
     * @param request the request
     * @param serverHash the hash of the server's id
     * @param endedAgoNanos the time since the refuted end
     */
    record Refutation(RequestFingerprint request, long serverHash, long endedAgoNanos)
            implements CrashMessage {

        /** Validates the time. */
        public Refutation {
            Assert.isTrue(endedAgoNanos >= 0, "A refuted end must be in the past.");
        }
    }

    /**
     * The request was answered, or an operator released it: all earlier conclusions are void.
     *
     * @param request the request
     */
    record Clearance(RequestFingerprint request) implements CrashMessage {}
}
