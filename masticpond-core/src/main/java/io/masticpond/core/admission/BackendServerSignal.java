package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;

/**
 * What a backend server says about itself, with the way it was said.
 *
 * @param kind what is said
 * @param reportedInFlight how many requests the server says it works on, or -1 if it does not say
 * @since 0.1
 */
public record BackendServerSignal(Kind kind, int reportedInFlight) {

    /** What a backend server may say. */
    public enum Kind {
        /** It is well. */
        HEALTHY,
        /** It is not well. */
        UNHEALTHY,
        /** It is leaving, by health answer, by a header on an answer or by closing connections. */
        LEAVING,
        /** It has just started. */
        STARTED,
        /** It said that it was leaving, and has taken that back without a new start. */
        STAYING
    }

    /** Checks the parts. */
    public BackendServerSignal {
        Assert.notNull(kind, "The kind of a sign");
    }

    /**
     * Makes a sign without a count.
     *
     * @param kind what is said
     * @return the sign
     */
    public static BackendServerSignal of(Kind kind) {
        return new BackendServerSignal(kind, -1);
    }
}
