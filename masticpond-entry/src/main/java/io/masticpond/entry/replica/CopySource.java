package io.masticpond.entry.replica;

/**
 * Source of the newest changes that an instance knows.
 *
 * @since 0.2
 */
public enum CopySource {
    /** No source: nothing is known yet, or only the passage of time caused a change. */
    NONE,
    /** The platform's store. */
    STORE,
    /** Another instance. */
    PEER
}
