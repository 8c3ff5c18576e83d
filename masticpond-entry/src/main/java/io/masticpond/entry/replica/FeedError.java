package io.masticpond.entry.replica;

/**
 * Why a call to the store has no result.
 *
 * @since 0.2
 */
public enum FeedError {
    /** No connection, no answer in time, or the connection broke; a write may have been done. */
    UNREACHABLE,
    /** The store turned the call away; nothing was done. */
    TURNED_AWAY,
    /** The history asked for is gone; list again. */
    HISTORY_GONE,
    /** The object has another revision, or exists already. */
    CONFLICT,
    /** The answer could not be read. */
    BAD_ANSWER,
    /** The answer is of an earlier era; it tells nothing of the present. */
    OUTDATED
}
