package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.RequestRecord;

/**
 * Request that was admitted, with everything that was decided on its arrival.
 *
 * @param request the request as received
 * @param responder the responder for the answer
 * @param facts the record of the request
 * @param caller the caller, with the route restricted to what the caller may use
 * @param service the service that is to run the request
 * @param times the times by which it must be answered
 * @param hasDeadline whether the client stated a deadline
 * @param maximumAttempts the maximum number of backend servers on which it may be attempted
 * @param isForwarded whether another instance forwarded it, which has counted it
 */
record AdmittedRequest(
        IncomingRequest request,
        Responder responder,
        RequestRecord facts,
        Caller caller,
        ServiceId service,
        RequestTimes times,
        boolean hasDeadline,
        int maximumAttempts,
        boolean isForwarded) {}
