package io.masticpond.daemon.instance;

import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.Envelope;

/**
 * Strategy interface for handling the messages of one kind from other instances.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface EnvelopeHandler {

    /**
     * Handles a message. Invoked on the event loop of the links: hand the message to another event
     * loop and return immediately.
     *
     * @param from the authenticated instance that sent the message
     * @param message the message
     * @param responder receives the answer, from any thread; for a message that expects no answer
     *     it does nothing
     */
    void handle(InstanceId from, Envelope message, Responder responder);
}
