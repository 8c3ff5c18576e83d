package io.masticpond.entry.backend;

/**
 * Handle of a call in progress.
 *
 * @since 0.2
 */
public interface BackendCall {

    /**
     * Cancels the call. Its connection is closed if the request was written, so that the server
     * stops processing it. The listener is not notified any more.
     */
    void cancel();

    /**
     * Returns whether any byte of the request has been written to a connection.
     *
     * @return whether a byte has been written; if not, the request has not run, and never will once
     *     the call is cancelled
     */
    boolean isWritten();

    /**
     * Returns whether the answer has begun and is not read for lack of memory, so that its delay is
     * not the server's.
     *
     * @return whether reading is paused
     */
    default boolean isReadingPaused() {
        return false;
    }
}
