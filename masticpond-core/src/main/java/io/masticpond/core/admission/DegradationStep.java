package io.masticpond.core.admission;

/**
 * Degree to which the information behind admission decisions is degraded, from the best to the
 * poorest.
 *
 * @since 0.1
 */
public enum DegradationStep {
    /** One admitter counts every request itself. */
    EXACT,
    /** The admitter has just changed, and its usable slots widen from the fair share. */
    WIDENING,
    /**
     * Headroom reports of other locations are outdated; these get no more requests than they last
     * accepted.
     */
    STALE,
    /** Other admitters may be active; each stays within its static fair share. */
    FAIR_SHARE
}
