package io.masticpond.core.capacity;

/** Detail in which the demand for a service is reported to other instances. */
enum DemandDetail {
    /** The demand is not reported. */
    NONE,
    /** All workspaces are reported as one. */
    TOTALS,
    /** The largest workspaces are reported separately. */
    WORKSPACES
}
