package io.masticpond.measure.region;

/** Outcome of a request as seen by its client. */
enum Outcome {
    /** Answered by a backend server. */
    ANSWERED,
    /** Refused without having run. */
    REFUSED,
    /**
     * Interrupted by the termination of an instance or backend server, by a partition or by the
     * deadline.
     */
    BROKEN
}
