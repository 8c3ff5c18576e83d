package io.masticpond.entry.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Validated request line and headers of a request.
 *
 * @param method the method
 * @param target the path and query
 * @param headers the headers as sent
 * @param isKeepAlive whether the client wants the connection to be kept open after the answer
 * @param isHttp10 whether the request uses HTTP/1.0
 * @param isChunked whether the body has the chunked transfer encoding
 * @param length the length of a body that is not chunked, 0 otherwise
 * @param isContinueExpected whether the client waits for {@code 100 Continue} before it sends the
 *     body
 * @since 0.2
 */
record RequestHead(
        HttpMethod method,
        String target,
        HttpHeaders headers,
        boolean isKeepAlive,
        boolean isHttp10,
        boolean isChunked,
        long length,
        boolean isContinueExpected) {

    boolean hasBody() {
        return isChunked || length > 0;
    }
}
