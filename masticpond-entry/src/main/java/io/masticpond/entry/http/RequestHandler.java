package io.masticpond.entry.http;

/**
 * Strategy interface for handling the complete requests that a server has read. Called on the
 * traffic thread only.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface RequestHandler {

    /**
     * Handles a request. Must answer or abort it through the responder, immediately or later.
     *
     * @param request the request
     * @param responder the responder for the answer
     */
    void handle(IncomingRequest request, Responder responder);
}
