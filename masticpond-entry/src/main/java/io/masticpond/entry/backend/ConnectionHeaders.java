package io.masticpond.entry.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Hop-by-hop headers, which apply to a single connection and are never forwarded.
 *
 * @since 0.2
 */
public final class ConnectionHeaders {

    private static final List<CharSequence> NAMES =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "keep-alive",
                    "proxy-connection",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE);

    private ConnectionHeaders() {}

    /**
     * Removes all hop-by-hop headers, including those that the {@code Connection} header names.
     *
     * @param headers the headers of a request or an answer
     */
    public static void remove(HttpHeaders headers) {
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String token : value.split(",")) {
                headers.remove(token.strip());
            }
        }
        for (CharSequence name : NAMES) {
            headers.remove(name);
        }
    }
}
