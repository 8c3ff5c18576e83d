package io.masticpond.core.admission;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;

/**
 * Callback interface that carries out the decisions of an {@link Admission}. Implementations must
 * not call back into it.
 *
 * @since 0.1
 */
public interface AdmissionSink {

    /**
     * Sends a request to a backend server.
     *
     * @param request the request
     * @param server the backend server whose slot it holds
     */
    void dispatch(RequestHead request, BackendServerId server);

    /**
     * Refuses a request, which did not run.
     *
     * @param request the request
     * @param refusal the reason
     */
    void refuse(RequestHead request, Refusal refusal);
}
