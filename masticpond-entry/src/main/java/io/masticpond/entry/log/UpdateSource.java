package io.masticpond.entry.log;

/**
 * Where news came from.
 *
 * @since 0.2
 */
public enum UpdateSource {
    /** The platform's store. */
    STORE,
    /** Another instance. */
    PEER,
    /** This instance's own clock or experience. */
    SELF
}
