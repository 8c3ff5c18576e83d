package io.masticpond.entry.replica;

/**
 * Kinds of objects that an instance follows.
 *
 * @since 0.2
 */
public enum Category {
    /** The single object with the newest routing configuration. */
    ROUTING,
    /** The backend servers, one object each. */
    BACKEND_SERVERS,
    /** The evacuated zones, one object each, named after the zone. */
    EVACUATIONS,
    /** The instances of this system, one object each, written by themselves. */
    INSTANCES
}
