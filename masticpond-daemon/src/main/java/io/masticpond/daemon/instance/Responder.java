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
     * Refuses the request, on which this instance must not have acted and must not act later.
     *
     * @param reason one sentence
     */
    void refuse(String reason);
}
