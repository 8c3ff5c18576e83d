package io.masticpond.core.admission;

import io.masticpond.core.id.BackendServerId;

/**
 * Backend server with a free slot, as presented to a {@link ServerSelector}.
 *
 * @since 0.1
 */
public interface ServerCandidate {

    /**
     * Returns the identifier of the backend server.
     *
     * @return the backend server
     */
    BackendServerId id();

    /**
     * Returns the number of slots that may be used now.
     *
     * @return the usable slots, at least one
     */
    int usableSlots();

    /**
     * Returns the number of slots that are held now.
     *
     * @return from 0 to below the usable slots
     */
    int heldSlots();

    /**
     * Returns the time at which the server was last sent a request.
     *
     * @return nanoseconds of the monotonic clock
     */
    long lastDispatchNanos();

    /**
     * Returns the typical time for which a slot of the server is held.
     *
     * @return nanoseconds; 0 if it is not known
     */
    long typicalNanos();
}
