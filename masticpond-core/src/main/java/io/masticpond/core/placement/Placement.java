package io.masticpond.core.placement;

import io.masticpond.core.limit.AdmissionDecision;

/**
 * What is to be done with a request now.
 *
 * @since 0.2
 */
public sealed interface Placement {

    /**
     * It is sent to a backend server.
     *
     * @param choice the server and what decided it
     */
    record Placed(ServerChoice choice) implements Placement {}

    /**
     * It is refused, since it would be answered too late wherever it may go.
     *
     * @param decision why, and when the client should return
     */
    record Refused(AdmissionDecision decision) implements Placement {}

    /** It is refused, since the servers that may take it want nothing more for now. */
    sealed interface Throttled extends Placement {

        /**
         * Tells when the client should return.
         *
         * @return the time until then
         */
        long retryAfterNanos();

        /**
         * Names the cause.
         *
         * @return one of a fixed set of words
         */
        String cause();
    }

    /**
     * The servers have named limits, which are used up.
     *
     * @param retryAfterNanos when the client should return
     */
    record Limited(long retryAfterNanos) implements Throttled {

        @Override
        public String cause() {
            return "server-limits";
        }
    }

    /**
     * The servers have asked for pauses.
     *
     * @param retryAfterNanos when the first of them is over
     */
    record Paused(long retryAfterNanos) implements Throttled {

        @Override
        public String cause() {
            return "server-pauses";
        }
    }

    /** No server may take it. */
    record NoServer() implements Placement {}
}
