package io.masticpond.entry.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Complete answer of a backend server, verified by its framing and matched by its request id.
 *
 * @param status the status code
 * @param headers the headers, without hop-by-hop headers
 * @param body the complete body; owned by the receiver, which must release it
 * @since 0.2
 */
public record BackendAnswer(int status, HttpHeaders headers, ByteBuf body) {

    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;

    /**
     * Returns whether the status code is a success (200 to 299).
     *
     * @return whether the backend server reported success
     */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }
}
