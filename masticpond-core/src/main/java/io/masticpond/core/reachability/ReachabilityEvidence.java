package io.masticpond.core.reachability;

/**
 * Observation on which the state of a service is based.
 *
 * @since 0.3
 */
public enum ReachabilityEvidence {
    /** Connections to several servers failed. */
    CONNECTIONS_FAILED,
    /** All connections to the servers of the service were reset. */
    CONNECTIONS_RESET,
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
    ANSWERED;

    /**
     * Determines whether connections failed, so that requests are forwarded during the suspicion. A
     * service that only answers late may be overloaded everywhere; forwarding its requests would
     * add load and help none of them.
     *
     * @return whether requests of a suspected service are forwarded
     */
    boolean isOfConnections() {
        return switch (this) {
            case CONNECTIONS_FAILED, CONNECTIONS_RESET, OTHER_SERVICE -> true;
            case NO_ANSWERS,
                    PROBES_UNANSWERED,
                    NEW_CONNECTIONS_FAILED,
                    NOT_PROBED,
                    PROBES_ANSWERED,
                    ANSWERED ->
                    false;
        };
    }
}
