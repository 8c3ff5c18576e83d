package io.masticpond.daemon.metrics;

/**
 * Reason for a further attempt of a request.
 *
 * @since 0.1
 */
public enum AttemptKind {
    /** The previous attempt failed. */
    RETRY("retry"),
    /** The previous shard or region refused the request. */
    SPILL("spill");

    private final String mLabel;

    AttemptKind(String label) {
        mLabel = label;
    }

    /** Returns the value of the label. */
    String label() {
        return mLabel;
    }
}
