package io.masticpond.daemon.operator;

/**
 * Provider of the status of this instance. Implementations must be thread-safe.
 *
 * @since 0.1
 */
public interface StatusSource {

    /**
     * Returns the current status.
     *
     * @return the status
     */
    StatusAnswer status();
}
