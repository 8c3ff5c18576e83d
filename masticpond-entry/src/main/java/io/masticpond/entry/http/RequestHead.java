package io.masticpond.entry.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * The request line and headers of a request, checked.
 *
 * @param method the method
 * @param target the path and query
 * @param headers the headers as sent
 * @param isKeepAlive whether the client wants the connection kept after the answer
 * @param isHttp10 whether the client speaks HTTP/1.0
 * @param isChunked whether the body comes in chunks
 * @param length the length of a body that does not come in chunks
 * @param isContinueExpected whether the client waits for a go-ahead before it sends the body
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
