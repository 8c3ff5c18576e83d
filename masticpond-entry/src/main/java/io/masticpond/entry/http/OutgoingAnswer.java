package io.masticpond.entry.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Complete answer to a client. The server sets the length and the hop-by-hop headers.
 *
 * @param status the status code
 * @param headers the headers of the answer, without hop-by-hop headers
 * @param body the complete body; the server releases it
 * @since 0.2
 */
public record OutgoingAnswer(int status, HttpHeaders headers, ByteBuf body) {}
