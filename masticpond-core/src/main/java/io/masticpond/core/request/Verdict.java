package io.masticpond.core.request;

/**
 * Knowledge about whether a request ran at a backend server.
 *
 * @since 0.1
 */
public enum Verdict {
    /** No byte was sent to a backend server, or the server stated that it shed the request. */
    DID_NOT_RUN("did-not-run") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return true;
        }
    },
    /** A byte may have reached a backend server, and no complete answer was received. */
    MAY_HAVE_RUN("may-have-run") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return idempotent;
        }
    },
    /** A backend server answered. */
    RAN("ran") {
        @Override
        public boolean allowsRetry(boolean idempotent) {
            return false;
        }
    };

    private final String mText;

    Verdict(String text) {
        mText = text;
    }

    /**
     * Returns whether the same request may be attempted again.
     *
     * @param idempotent whether running the request twice has the effect of running it once
     * @return whether a retry is allowed
     */
    public abstract boolean allowsRetry(boolean idempotent);

    /**
     * Returns the text form used in answers to callers.
     *
     * @return the words joined by hyphens
     */
    public String text() {
        return mText;
    }
}
