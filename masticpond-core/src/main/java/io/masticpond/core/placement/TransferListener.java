package io.masticpond.core.placement;

import io.masticpond.core.fleet.RegisteredServer;

/**
 * Listener that is notified of the bytes exchanged with servers of other regions.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface TransferListener {

    /** Listener that does nothing. */
    TransferListener NONE = (server, requestBytes, answerBytes) -> {};

    /**
     * Called when a server of another region has answered.
     *
     * @param server the server
     * @param requestBytes the size of the body of the request
     * @param answerBytes the size of the body of the answer
     */
    void onTransfer(RegisteredServer server, long requestBytes, long answerBytes);
}
