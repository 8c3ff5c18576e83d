package io.masticpond.entry.backend;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Listener for the end of a call. Exactly one of {@link #answered} and {@link #failed} is called,
 * unless the call was cancelled.
 *
 * @since 0.2
 */
public interface BackendCallListener {

    /**
     * Called when the head of the server's answer has been received; the call may still fail.
     *
     * @param status the status of the answer
     * @param headers the headers of the answer
     */
    default void answerBegan(int status, HttpHeaders headers) {}

    /**
     * Determines whether the request may still be written. Called after the call waited for a
     * connection, before the first byte of the request is written.
     *
     * @return whether the request may still be written; if not, the call fails with {@link
     *     CallFailure.Kind#WITHDRAWN}
     */
    default boolean canBegin() {
        return true;
    }

    /**
     * Called when a complete answer with any status has been received.
     *
     * @param answer the answer; the listener must release its body
     */
    void answered(BackendAnswer answer);

    /**
     * Called when the call has failed.
     *
     * @param failure the reason for the failure
     */
    void failed(CallFailure failure);
}
