package io.masticpond.entry.backend;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Hears how a call ends: exactly one of the two, unless the call was cancelled.
 *
 * @since 0.2
 */
public interface BackendCallListener {

    /**
     * The head of the server's answer has arrived; the answer may still fail.
     *
     * @param status the status of the answer
     * @param headers the headers of the answer
     */
    default void answerBegan(int status, HttpHeaders headers) {}

    /**
     * Asked when a connection was waited for, before the first byte of the request is written.
     *
     * @return whether it may still be written; if not, the call fails as one that was withdrawn
     */
    default boolean mayBegin() {
        return true;
    }

    /**
     * The server answered in whole, with any status.
     *
     * @param answer the answer, whose body the listener releases
     */
    void answered(BackendAnswer answer);

    /**
     * The call failed.
     *
     * @param failure why
     */
    void failed(CallFailure failure);
}
