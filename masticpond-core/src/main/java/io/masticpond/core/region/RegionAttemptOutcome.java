package io.masticpond.core.region;

/**
 * Outcomes of a request at the region that was chosen for it.
 *
 * @since 0.1
 */
public enum RegionAttemptOutcome {
    /** A backend server answered. */
    ANSWERED,
    /** The admitter refused the request, which did not run. */
    REFUSED,
    /** The link to the admitter broke. */
    LOST,
    /** The request failed in any other way. */
    FAILED
}
