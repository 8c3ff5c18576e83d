package io.masticpond.core.operation;

import java.util.List;

/**
 * Call to the platform that the outcomes require next.
 *
 * @param <A> the whole answer of a backend server
 * @since 0.1
 */
public sealed interface OutcomeCall<A> {

    /**
     * Returns the segment of the call.
     *
     * @return the number of the segment
     */
    long segment();

    /**
     * Call that reads the version of the segment.
     *
     * @param <A> the whole answer of a backend server
     * @param segment the number of the segment
     */
    record Read<A>(long segment) implements OutcomeCall<A> {}

    /**
     * Call that writes the segment if it still has the expected version.
     *
     * @param <A> the whole answer of a backend server
     * @param segment the number of the segment
     * @param expectedVersion the version, or 0 if the segment must not exist yet
     * @param outcomes all outcomes of the segment
     */
    record Write<A>(long segment, long expectedVersion, List<KeptOutcome<A>> outcomes)
            implements OutcomeCall<A> {

        /** Copies the list. */
        public Write {
            outcomes = List.copyOf(outcomes);
        }
    }

    /**
     * Call that deletes the segment, all of whose outcomes have expired.
     *
     * @param <A> the whole answer of a backend server
     * @param segment the number of the segment
     * @param expectedVersion the version
     */
    record Delete<A>(long segment, long expectedVersion) implements OutcomeCall<A> {}
}
