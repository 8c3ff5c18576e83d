package io.masticpond.entry.backend;

import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;

/**
 * Why a call has no whole answer, and whether the request may have run.
 *
 * @param verdict {@link Verdict#DID_NOT_RUN} only if no byte of the request was written
 * @param kind what went wrong
 * @since 0.2
 */
public record CallFailure(Verdict verdict, Kind kind) {

    /** Checks that the parts are given. */
    public CallFailure {
        Assert.notNull(verdict, "A verdict");
        Assert.notNull(kind, "A kind");
    }

    /** What went wrong. */
    public enum Kind {
        /** No connection within its time, or it was refused or reset before the request. */
        NOT_CONNECTED(true),
        /** The server has as many connections as it accepts from this instance. */
        NO_CONNECTION_FREE(false),
        /** While a connection was waited for, the server came to take no requests. */
        WITHDRAWN(false),
        /** The connection ended after the request was (partly) written, before a whole answer. */
        BROKEN_OFF(true),
        /** The server sent what is no answer to this request, or more than one. */
        BAD_ANSWER(true),
        /** No whole answer in time. */
        TIMED_OUT(true);

        private final boolean mBlamesServer;

        Kind(boolean blamesServer) {
            mBlamesServer = blamesServer;
        }

        /**
         * Tells whether this speaks against the server.
         *
         * @return whether it does
         */
        public boolean isServerFailure() {
            return mBlamesServer;
        }
    }
}
