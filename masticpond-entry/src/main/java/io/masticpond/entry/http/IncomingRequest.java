package io.masticpond.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Complete request of a client, passed to the handler once its body has been read.
 *
 * @param method the method
 * @param target the path and query of the request target, exactly as sent
 * @param headers all headers as sent
 * @param body the complete body, empty if there is none; owned by the receiver, which must release
 *     it
 * @param beginNanos the monotonic time at which its first byte was read
 * @param arrivalNanos the monotonic time at which its last byte was read
 * @since 0.2
 */
public record IncomingRequest(
        HttpMethod method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        long beginNanos,
        long arrivalNanos) {}
