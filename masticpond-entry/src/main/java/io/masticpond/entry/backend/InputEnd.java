package io.masticpond.entry.backend;

/** How the input of a connection to a backend server ended. */
enum InputEnd {
    /** The input has not ended. */
    NONE,
    /** The server closed its output in order. */
    ORDERLY,
    /** The connection broke off, or was closed here. */
    BROKEN
}
