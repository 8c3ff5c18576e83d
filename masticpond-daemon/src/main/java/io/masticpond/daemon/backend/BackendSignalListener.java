package io.masticpond.daemon.backend;

import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.id.BackendServerId;

/**
 * Callback interface for signals that backend servers give about themselves.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface BackendSignalListener {

    /**
     * Handles a signal. Called on the thread of the health checker's event loop, so implementations
     * must return quickly.
     *
     * @param server the backend server
     * @param signal the signal
     */
    void onSignal(BackendServerId server, BackendServerSignal signal);
}
