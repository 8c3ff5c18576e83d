package io.masticpond.daemon.lifecycle;

/**
 * State of a planned stop of this instance.
 *
 * @since 0.1
 */
public enum DrainState {
    /** The instance accepts callers. */
    SERVING,
    /** Look-ups no longer return the instance, which serves the requests that still arrive. */
    LEAVING,
    /** Cached look-ups have expired and no request is in flight. */
    DRAINED,
    /** The instance is about to exit. */
    STOPPING
}
