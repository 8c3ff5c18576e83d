package io.masticpond.core.probe;

/**
 * Results of a probe.
 *
 * @since 0.3
 */
public enum ProbeResult {
    /** The server answered and stated its load. */
    ANSWERED,
    /** The server answered without a valid load. */
    WITHOUT_LOAD,
    /** No complete answer arrived in time. */
    NO_ANSWER,
    /** No connection was available, or it ended before a complete answer. */
    FAILED
}
