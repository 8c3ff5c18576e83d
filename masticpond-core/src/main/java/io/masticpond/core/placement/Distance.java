package io.masticpond.core.placement;

/**
 * Distances of a backend server from this instance.
 *
 * @since 0.2
 */
public enum Distance {
    /** In the same availability zone. */
    SAME_ZONE,
    /** In another availability zone of the same region. */
    SAME_REGION,
    /** In another region. */
    OTHER_REGION
}
