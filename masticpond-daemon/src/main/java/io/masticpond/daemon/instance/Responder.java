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
     * Returns the authenticated run of the instance that sent the message.
     *
     * @return the run
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
     * Refuses the request. The receiver must not have acted on it.
     *
     * @param reason one sentence
     */
    void refuse(String reason);
}
