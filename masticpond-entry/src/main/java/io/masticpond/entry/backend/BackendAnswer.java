package io.masticpond.entry.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The whole answer of a backend server, proved complete by its framing and matched by its id.
 *
 * @param status the status code
 * @param headers the headers, without those that concern one connection only
 * @param body the whole body; owned by the receiver, who releases it
 * @since 0.2
 */
public record BackendAnswer(int status, HttpHeaders headers, ByteBuf body) {

    private static final int FIRST_SUCCESS = 200;
    private static final int LAST_SUCCESS = 299;

    /**
     * Tells whether the backend server says that it did what was asked.
     *
     * @return whether it does
     */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
    }
}
