package io.masticpond.entry.replica;

/**
 * Who told an instance the newest of what it knows.
 *
 * @since 0.2
 */
public enum CopySource {
    /** Nobody: nothing is known yet, or this instance's own clock changed what it knows. */
    NONE,
    /** The platform's store. */
    STORE,
    /** Another instance. */
    PEER
}
