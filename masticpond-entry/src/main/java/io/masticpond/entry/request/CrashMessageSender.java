package io.masticpond.entry.request;

import io.masticpond.core.crash.CrashMessage;

/**
 * Strategy interface for sending messages about crashing requests to other instances.
 *
 * @since 0.2
 */
public interface CrashMessageSender {

    /** Sender that discards all messages. */
    CrashMessageSender NONE = (message, toAll) -> {};

    /**
     * Sends a message soon, possibly batched with others, and without a guarantee of delivery.
     * Called on the traffic thread only.
     *
     * @param message the message
     * @param toAll whether to send it to all instances, or only to the aggregators of its request
     */
    void send(CrashMessage message, boolean toAll);
}
