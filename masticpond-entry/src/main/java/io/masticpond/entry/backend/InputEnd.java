package io.masticpond.entry.backend;

/** How the input of a connection to a backend server ended. */
enum InputEnd {
    /** The input has not ended. */
    NONE,
    /** The server closed its output in order. */
    ORDERLY,
    /**
     * A read returned the end of the stream after a write had failed. This proves no orderly end,
     * as the write may have taken the report of a reset.
     */
    UNKNOWN,
    /** The connection broke off, or was closed here. */
    BROKEN
}
