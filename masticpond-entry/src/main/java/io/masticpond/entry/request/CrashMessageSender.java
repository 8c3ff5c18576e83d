package io.masticpond.entry.request;

import io.masticpond.core.crash.CrashMessage;

/**
 * Carries messages about requests under which servers end to other instances.
 *
 * @since 0.2
 */
public interface CrashMessageSender {

    /** Carries nothing. */
    CrashMessageSender NONE = (message, toAll) -> {};

    /**
     * Carries a message, soon and without promise. Traffic thread only.
     *
     * @param message the message
     * @param toAll whether all instances hear it, or those alone that keep what is known of its
     *     request
     */
    void send(CrashMessage message, boolean toAll);
}
