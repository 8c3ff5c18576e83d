package io.masticpond.entry.request;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.entry.backend.ConnectionHeaders;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Factory of the headers that are sent to a backend server, derived from those of a client. */
final class ForwardedHeaders {

    private final HttpHeaders mReceived;
    private final HeaderNames mNames;
    private final boolean mHasDeadline;
    private final Optional<WorkspaceId> mWorkspace;

    ForwardedHeaders(
            HttpHeaders received,
            HeaderNames names,
            boolean hasDeadline,
            Optional<WorkspaceId> workspace) {
        mWorkspace = workspace;
        mReceived = received;
        mNames = names;
        mHasDeadline = hasDeadline;
    }

    /** Returns the headers for one attempt. */
    HttpHeaders to(BackendServerId server, long leftNanos) {
        HttpHeaders headers = new DefaultHttpHeaders(false).set(mReceived);
        ConnectionHeaders.remove(headers);
        headers.remove(HttpHeaderNames.PROXY_AUTHORIZATION);
        headers.remove(mNames.credential());
        headers.remove(mNames.workspace());
        mWorkspace.ifPresent(workspace -> headers.set(mNames.workspace(), workspace.value()));
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(HttpHeaderNames.EXPECT);
        if (mHasDeadline) {
            long leftMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos));
            headers.set(mNames.deadlineMillis(), Long.toString(leftMillis));
        }
        headers.set(mNames.expectedServer(), server.value());
        return headers;
    }
}
