package io.masticpond.entry.request;

import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.routing.Route;
import java.util.Optional;

/** Whose request it is, and what that allows it. Traffic thread only. */
interface Caller {

    /** The route, narrowed to what the caller's workspace may have. */
    Route route();

    /** The caller's workspace, empty where none is asked for. */
    Optional<WorkspaceId> workspace();

    /** Says, before each send, why the request must not be sent any more, if so. */
    Optional<Rejection> rejection();

    /** Counts a send, the first or a further one. */
    void sent(long nowNanos);
}
