package io.masticpond.entry.backend;

import io.masticpond.core.support.Assert;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Single attempt to send a request to a backend server.
 *
 * @param requestId the id that the server's answer must echo
 * @param method the method
 * @param target the path and query, unchanged
 * @param headers the headers to send, without hop-by-hop headers; the pool adds the length of the
 *     body and the headers of the connection
 * @param body the complete body; the pool sends a retained duplicate and does not release this
 *     buffer
 * @param timeoutNanos the time in nanoseconds without a complete answer after which the call fails
 * @param repeatable whether the request may be repeated after an uncertain outcome; one that may
 *     not be repeated is not sent on connections that the server may have dropped or that may be
 *     cut off
 * @param answerMayOmitId whether an answer without a request id is accepted; one with another id is
 *     rejected in any case
 * @since 0.2
 */
public record BackendRequest(
        String requestId,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        long timeoutNanos,
        boolean repeatable,
        boolean answerMayOmitId) {

    /**
     * Creates a request whose answer must echo its id.
     *
     * @param requestId the id that the server's answer must echo
     * @param method the method
     * @param target the path and query, unchanged
     * @param headers the headers to send, without hop-by-hop headers
     * @param body the complete body
     * @param timeoutNanos the time in nanoseconds without a complete answer after which the call
     *     fails
     * @param repeatable whether the request may be repeated after an uncertain outcome
     */
    public BackendRequest(
            String requestId,
            HttpMethod method,
            String target,
            HttpHeaders headers,
            ByteBuf body,
            long timeoutNanos,
            boolean repeatable) {
        this(requestId, method, target, headers, body, timeoutNanos, repeatable, false);
    }

    /** Validates that there is a request id to match the answer by. */
    public BackendRequest {
        Assert.hasText(requestId, "The id of a request");
    }
}
