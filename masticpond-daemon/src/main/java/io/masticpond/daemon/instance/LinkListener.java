package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;

/**
 * Callback interface for established and lost connections. Invoked on the event loop of the links:
 * hand the event to another event loop and return immediately.
 *
 * @since 0.1
 */
public interface LinkListener {

    /**
     * Invoked when the first connection to an incarnation of an instance is authenticated and
     * ready.
     *
     * @param peer the incarnation of the other instance
     */
    void connected(Incarnation peer);

    /**
     * Invoked when the last connection to an incarnation of an instance is closed.
     *
     * @param peer the incarnation of the other instance
     */
    void disconnected(Incarnation peer);

    /**
     * Invoked when the address of an instance refused a connection, because no process listens on
     * it.
     *
     * @param peer the other instance
     */
    void connectionRefused(InstanceId peer);
}
