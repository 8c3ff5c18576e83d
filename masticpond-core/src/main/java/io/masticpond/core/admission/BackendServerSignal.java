package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;

/**
 * Signal of a backend server about its own state.
 *
 * @param kind the kind of the signal
 * @param reportedInFlight the number of requests that the server reports as in flight, or -1 if it
 *     does not report it
 * @since 0.1
 */
public record BackendServerSignal(Kind kind, int reportedInFlight) {

    /** Kind of a signal. */
    public enum Kind {
        /** The server is healthy. */
        HEALTHY,
        /** The server is unhealthy. */
        UNHEALTHY,
        /**
         * The server is leaving, as stated by a health answer, by a header of an answer or by
         * closing connections.
         */
        LEAVING,
        /** The server has just started. */
        STARTED,
        /** The server had signaled that it was leaving, and has revoked that without a restart. */
        STAYING
    }

    /** Validates the components. */
    public BackendServerSignal {
        Assert.notNull(kind, "The kind of a signal");
    }

    /**
     * Creates a signal without a count of requests.
     *
     * @param kind the kind of the signal
     * @return the signal
     */
    public static BackendServerSignal of(Kind kind) {
        return new BackendServerSignal(kind, -1);
    }
}
