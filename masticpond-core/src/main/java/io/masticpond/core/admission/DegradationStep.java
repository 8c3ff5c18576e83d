package io.masticpond.core.admission;

/**
 * Says what decisions rest on now, from the best snapshot to the poorest.
 *
 * @since 0.1
 */
public enum DegradationStep {
    /** One admitter counts every request itself. */
    EXACT,
    /** The admitter has just changed, and slots widen from the fair share. */
    WIDENING,
    /** Headroom of other places is old; they get no more than the work they last took. */
    STALE,
    /** Other admitters may be at work; each keeps to its static fair share. */
    FAIR_SHARE
}
