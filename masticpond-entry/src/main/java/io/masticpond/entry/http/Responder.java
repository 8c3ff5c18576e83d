package io.masticpond.entry.http;

/**
 * Callback interface that accepts the single answer to a request. To be called on the traffic
 * thread only.
 *
 * @since 0.2
 */
public interface Responder {

    /**
     * Answers the request. The answer is sent after the answers to earlier requests of the
     * connection. Later calls are ignored, and so is a call after the client has disconnected.
     *
     * @param answer the answer
     */
    void answer(OutgoingAnswer answer);

    /**
     * Closes the connection instead of answering, after the answers to earlier requests have been
     * sent.
     */
    void abort();

    /**
     * Registers an action for the case that the connection ends before the answer is written.
     *
     * @param action the action, which runs at most once, on the traffic thread; it runs immediately
     *     if the client has already disconnected
     */
    void onClientDisconnected(Runnable action);

    /**
     * Returns whether the connection of the client has ended.
     *
     * @return whether the client has disconnected
     */
    boolean isClientDisconnected();
}
