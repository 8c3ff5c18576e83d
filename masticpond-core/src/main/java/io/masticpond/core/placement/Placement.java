package io.masticpond.core.placement;

import io.masticpond.core.limit.AdmissionAnswer;

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
     * @param answer why, and when the client should return
     */
    record Refused(AdmissionAnswer answer) implements Placement {}

    /**
     * It is refused, since the servers that may take it have named limits, which are used up.
     *
     * @param retryAfterNanos when the client should return
     */
    record Limited(long retryAfterNanos) implements Placement {}

    /** No server may take it. */
    record Nowhere() implements Placement {}
}
