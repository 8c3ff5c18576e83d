package io.masticpond.entry.log;

/**
 * Source of an update.
 *
 * @since 0.2
 */
public enum UpdateSource {
    /** The platform's store. */
    STORE,
    /** Another instance. */
    PEER,
    /** This instance's own clock or observations. */
    SELF
}
