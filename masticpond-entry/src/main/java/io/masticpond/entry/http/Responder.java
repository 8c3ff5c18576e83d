package io.masticpond.entry.http;

/**
 * Takes the one answer to a request. Traffic thread only.
 *
 * @since 0.2
 */
public interface Responder {

    /**
     * Answers the request; the answer goes out once those to earlier requests of the connection
     * have. Later calls are ignored, and so is a call after the client has gone.
     *
     * @param answer the answer
     */
    void answer(OutgoingAnswer answer);

    /** Closes the connection in place of an answer, after the answers to earlier requests. */
    void abort();

    /**
     * Registers what to do when the client closes its connection before the answer is written.
     *
     * @param action runs at most once, on the traffic thread; at once if the client has gone
     */
    void onClientDisconnected(Runnable action);

    /**
     * Tells whether the client has closed its connection.
     *
     * @return whether it has
     */
    boolean isClientDisconnected();
}
