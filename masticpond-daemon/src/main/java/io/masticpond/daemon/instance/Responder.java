package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.protocol.generated.Envelope;

/**
 * Strategy interface for answering one request of another instance. Implementations are
 * thread-safe.
 *
 * @since 0.1
 */
public interface Responder {

    /**
     * Returns the authenticated incarnation of the instance that sent the message.
     *
     * @return the incarnation
     */
    Incarnation peer();

    /**
     * Sends the answer. Only the first answer to a request is sent; its call id is assigned here.
     * If the connection is closed, the answer is dropped and counted.
     *
     * @param answer the answer
     */
    void answer(Envelope answer);

    /**
     * Sets the listener for the end of the request. It is called once, after the answer has been
     * written to the socket or has been dropped. Must be called before the request is answered.
     *
     * @param listener the listener, which must not block
     */
    void onEnd(Runnable listener);

    /**
     * Refuses the request, on which this instance must not have acted and must not act later.
     *
     * @param reason one sentence
     */
    void refuse(String reason);
}
