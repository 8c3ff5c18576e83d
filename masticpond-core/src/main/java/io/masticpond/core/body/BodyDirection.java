package io.masticpond.core.body;

/**
 * Direction of a body.
 *
 * @since 0.3
 */
public enum BodyDirection {
    /** From a client to a backend server. */
    REQUESTS,
    /** From a backend server to a client. */
    RESPONSES
}
