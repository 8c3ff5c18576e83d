package io.masticpond.core.request;

/**
 * Effect of repeating an operation, which determines the retries that are allowed.
 *
 * @since 0.1
 */
public enum OperationKind {
    /** A read-only operation, which may be retried. */
    READ(true),
    /**
     * An operation that changes state, but whose repetition has no further effect. It may be
     * retried.
     */
    IDEMPOTENT(true),
    /** An operation that must run at most once and carries an operation key. */
    ONCE_ONLY(false),
    /** An operation with unknown effects of repetition, which is retried only if it did not run. */
    UNKNOWN(false);

    private final boolean mIdempotent;

    OperationKind(boolean idempotent) {
        mIdempotent = idempotent;
    }

    /**
     * Returns whether running twice has the effect of running once.
     *
     * @return whether the operation is idempotent
     */
    public boolean isIdempotent() {
        return mIdempotent;
    }
}
