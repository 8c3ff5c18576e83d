package io.masticpond.entry.backend;

import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;

/**
 * Reason why a call has no complete answer, and whether the request may have run.
 *
 * @param verdict {@link Verdict#DID_NOT_RUN} only if no byte of the request was written
 * @param kind the kind of failure
 * @since 0.2
 */
public record CallFailure(Verdict verdict, Kind kind) {

    /** Validates that both components are present. */
    public CallFailure {
        Assert.notNull(verdict, "A verdict");
        Assert.notNull(kind, "A kind");
    }

    /** Kind of failure. */
    public enum Kind {
        /** No connection was opened in time, or it was refused or reset before the request. */
        NOT_CONNECTED(true),
        /** This instance already holds the maximum number of connections to the server. */
        NO_CONNECTION_FREE(false),
        /** The server stopped taking requests while the call waited for a connection. */
        WITHDRAWN(false),
        /**
         * The connection ended after the request was at least partly written and before a complete
         * answer.
         */
        BROKEN_OFF(true),
        /** The server sent data that is not an answer to this request, or more than one answer. */
        BAD_ANSWER(true),
        /** No complete answer was received in time. */
        TIMED_OUT(true),
        /** No complete answer was read in time, as it waited for room in the body budget. */
        UNREAD(false);

        private final boolean mServerFailure;

        Kind(boolean serverFailure) {
            mServerFailure = serverFailure;
        }

        /**
         * Returns whether the time for the call has elapsed.
         *
         * @return whether it is a timeout
         */
        public boolean isTimeout() {
            return this == TIMED_OUT || this == UNREAD;
        }

        /**
         * Returns whether this kind of failure counts against the server.
         *
         * @return whether it counts as a failure of the server
         */
        public boolean isServerFailure() {
            return mServerFailure;
        }
    }
}
