package io.masticpond.entry.request;

import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.workspace.KeyDigest;
import java.util.Optional;

/**
 * Caller of a request, with the permissions of its workspace. For use on the traffic thread only.
 */
interface Caller {

    /** Returns the route, restricted to what the caller's workspace may use. */
    Route route();

    /** Returns the caller's workspace, empty if the route requires none. */
    Optional<WorkspaceId> workspace();

    /** Returns the digest of the caller's key, empty if the route requires none. */
    Optional<KeyDigest> key();

    /**
     * Returns why the request must not be sent any more, empty if it may be. Called before each
     * attempt.
     */
    Optional<Rejection> rejection();

    /** Records an attempt, whether the first or a retry. */
    void recordSent(long nowNanos);
}
