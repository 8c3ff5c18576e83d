package io.masticpond.core.placement;

import io.masticpond.core.limit.AdmissionDecision;

/**
 * Decision on a request.
 *
 * @since 0.2
 */
public sealed interface Placement {

    /**
     * The request is sent to a backend server.
     *
     * @param choice the chosen server and its score
     */
    record Placed(ServerChoice choice) implements Placement {}

    /**
     * The request is refused, since no usable server could answer it in time.
     *
     * @param decision the decision, with the time after which the client should retry
     */
    record Refused(AdmissionDecision decision) implements Placement {}

    /**
     * The request is refused, since the servers that may take it accept no more requests for now.
     */
    sealed interface Throttled extends Placement {

        /**
         * Returns the time after which the client should retry.
         *
         * @return the time in nanoseconds
         */
        long retryAfterNanos();

        /**
         * Returns the cause.
         *
         * @return one of a fixed set of values
         */
        String cause();
    }

    /**
     * The servers have stated limits, which are exhausted.
     *
     * @param retryAfterNanos the time after which the client should retry
     */
    record Limited(long retryAfterNanos) implements Throttled {

        @Override
        public String cause() {
            return "server-limits";
        }
    }

    /**
     * The servers have requested pauses.
     *
     * @param retryAfterNanos the time until the first pause is over
     */
    record Paused(long retryAfterNanos) implements Throttled {

        @Override
        public String cause() {
            return "server-pauses";
        }
    }

    /** No server may take the request. */
    record NoServer() implements Placement {}
}
