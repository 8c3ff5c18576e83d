package io.masticpond.testing.platform;

/**
 * Kind of a call that the platform counts.
 *
 * @since 0.1
 */
public enum PlatformCall {
    /** A read of one object. */
    READ,
    /** A conditional update. */
    WRITE,
    /** A conditional deletion. */
    DELETE,
    /** A watch, which counts as one call however long it waits. */
    WATCH,
    /** A list of names. */
    LIST,
    /** A read of the list of instances. */
    INSTANCES;

    /**
     * Determines whether a call of this kind changes an object.
     *
     * @return whether it changes an object
     */
    public boolean changes() {
        return this == WRITE || this == DELETE;
    }
}
