package io.masticpond.core.region;

/**
 * Says how a request ended at the region that was chosen for it.
 *
 * @since 0.1
 */
public enum RegionAttemptOutcome {
    /** A backend server answered. */
    ANSWERED,
    /** The admitter refused it and it did not run. */
    REFUSED,
    /** The link to the admitter broke. */
    LOST,
    /** It failed in any other way. */
    FAILED
}
