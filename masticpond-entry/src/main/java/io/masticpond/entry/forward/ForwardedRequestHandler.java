package io.masticpond.entry.forward;

import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.RequestRecord;

/**
 * Strategy interface for handling requests that other instances forwarded. Called on the traffic
 * thread only.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface ForwardedRequestHandler {

    /**
     * Handles a request.
     *
     * @param request the request
     * @param terms the terms on which it may be sent to backend servers
     * @param facts the record of the request, whose outcome must be set before the answer is given
     * @param responder the responder for the answer
     */
    void handle(
            IncomingRequest request, ForwardTerms terms, RequestRecord facts, Responder responder);
}
