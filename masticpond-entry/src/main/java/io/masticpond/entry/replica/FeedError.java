package io.masticpond.entry.replica;

/**
 * Reason for which a call to the store failed.
 *
 * @since 0.2
 */
public enum FeedError {
    /** No connection, no answer in time, or the connection broke; a write may have been done. */
    UNREACHABLE,
    /** The store rejected the call; nothing was done. */
    TURNED_AWAY,
    /** The requested history is no longer available; a new list is required. */
    HISTORY_GONE,
    /** The object has another revision, or exists already. */
    CONFLICT,
    /** The answer could not be read. */
    BAD_ANSWER,
    /** The answer is of an earlier era and says nothing about the current state. */
    OUTDATED
}
