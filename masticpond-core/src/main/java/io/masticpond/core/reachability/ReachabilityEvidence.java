package io.masticpond.core.reachability;

/**
 * Observation on which the state of a service is based.
 *
 * @since 0.3
 */
public enum ReachabilityEvidence {
    /** Connections to several servers failed. */
    CONNECTIONS_FAILED,
    /** Pending requests received no answer. */
    NO_ANSWERS,
    /** Another service is unreachable. */
    OTHER_SERVICE,
    /** All probes remained without an answer. */
    PROBES_UNANSWERED,
    /** All probes remained without an answer, though older connections still bring answers. */
    NEW_CONNECTIONS_FAILED,
    /** No server may be probed. */
    NOT_PROBED,
    /** Probes were answered. */
    PROBES_ANSWERED,
    /** An answer arrived. */
    ANSWERED
}
