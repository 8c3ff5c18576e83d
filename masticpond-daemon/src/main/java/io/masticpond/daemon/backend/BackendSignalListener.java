package io.masticpond.daemon.backend;

import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.id.BackendServerId;

/**
 * Takes what backend servers say about themselves.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface BackendSignalListener {

    /**
     * Takes a sign, on the thread of the health duty; must be short.
     *
     * @param server the backend server
     * @param sign the sign
     */
    void observe(BackendServerId server, BackendServerSignal sign);
}
