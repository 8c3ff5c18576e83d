package io.masticpond.entry.request;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.entry.backend.ConnectionHeaders;
import io.masticpond.entry.http.HeaderText;
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

    /** Returns the headers for one attempt at a backend server. */
    HttpHeaders to(BackendServerId server, long leftNanos) {
        HttpHeaders headers = forwardable();
        mWorkspace.ifPresent(
                workspace -> headers.set(mNames.workspace(), HeaderText.encode(workspace.value())));
        if (mHasDeadline) {
            setDeadline(headers, leftNanos);
        }
        headers.set(mNames.expectedServer(), HeaderText.encode(server.value()));
        return headers;
    }

    /** Returns the headers for another instance, which sets those for a backend server itself. */
    HttpHeaders toInstance(long leftNanos) {
        HttpHeaders headers = forwardable();
        setDeadline(headers, leftNanos);
        return headers;
    }

    private HttpHeaders forwardable() {
        HttpHeaders headers = new DefaultHttpHeaders(false).set(mReceived);
        ConnectionHeaders.remove(headers);
        headers.remove(HttpHeaderNames.PROXY_AUTHORIZATION);
        headers.remove(mNames.credential());
        headers.remove(mNames.workspace());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.remove(HttpHeaderNames.EXPECT);
        return headers;
    }

    private void setDeadline(HttpHeaders headers, long leftNanos) {
        long leftMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos));
        headers.set(mNames.deadlineMillis(), Long.toString(leftMillis));
    }
}
