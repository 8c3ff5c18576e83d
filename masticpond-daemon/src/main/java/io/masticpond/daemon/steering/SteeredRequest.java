package io.masticpond.daemon.steering;

import io.masticpond.core.id.OperationName;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.support.Assert;
import java.util.List;
import java.util.Optional;

/**
 * Request with its body, as it is passed along the request path. The body must not be modified.
 *
 * @param head the properties on which decisions are based
 * @param operation the requested operation, if the configuration names it
 * @param method the HTTP method in capitals
 * @param path the path below the service with its query, starting with a slash
 * @param headers the header fields to forward
 * @param body the body
 * @param operationId the id under which a once-only operation runs, passed to the backend server
 * @since 0.1
 */
@SuppressWarnings("ArrayRecordComponent")
public record SteeredRequest(
        RequestHead head,
        Optional<OperationName> operation,
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        Optional<String> operationId) {

    /** Validates the components and copies the list. */
    public SteeredRequest {
        Assert.notNull(head, "A request head");
        Assert.notNull(operation, "An operation name");
        Assert.hasText(method, "A method");
        Assert.hasText(path, "A path");
        headers = List.copyOf(headers);
        Assert.notNull(body, "A body");
        Assert.notNull(operationId, "An operation id");
    }

    /**
     * Returns a copy of this request with the given operation id.
     *
     * @param id the operation id
     * @return the copy
     */
    public SteeredRequest withOperationId(String id) {
        return new SteeredRequest(head, operation, method, path, headers, body, Optional.of(id));
    }
}
