package io.masticpond.core.body;

/**
 * Result of an attempt to reserve bytes for a request.
 *
 * @since 0.3
 */
public enum RequestReservation {
    /** The bytes are reserved. */
    RESERVED,
    /** The connection must end earlier requests first; they hold its part of the budget. */
    CONNECTION_FULL,
    /** The budget is exhausted. */
    EXHAUSTED
}
