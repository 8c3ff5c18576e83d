package io.masticpond.entry.backend;

import io.masticpond.core.support.Assert;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * One send of a request to a backend server.
 *
 * @param requestId the id that the server's answer must echo
 * @param method the method
 * @param target path and query, unchanged
 * @param headers the headers to send, without those that concern one connection only; the pool adds
 *     the length of the body and what the connection needs
 * @param body the whole body; the pool sends a retained duplicate and does not release this one
 * @param timeoutNanos after how long without a whole answer the call fails
 * @param repeatable whether the request may be sent again after an end in doubt; one that may not
 *     is kept off connections that could be forgotten or cut off
 * @since 0.2
 */
public record BackendRequest(
        String requestId,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        long timeoutNanos,
        boolean repeatable) {

    /** Checks that there is an id to match the answer by. */
    public BackendRequest {
        Assert.hasText(requestId, "The id of a request");
    }
}
