package io.masticpond.entry.request;

import io.masticpond.core.placement.ServerLoad;
import io.masticpond.entry.backend.BackendCall;
import io.masticpond.entry.backend.BackendRequest;
import io.masticpond.entry.http.IncomingRequest;

/** Sender of one request to backend servers. */
final class ServerCalls {

    private final RequestFlow mFlow;
    private final RequestRun mRun;
    private final AdmittedRequest mAdmitted;
    private final ForwardedHeaders mHeaders;

    ServerCalls(
            RequestFlow flow, RequestRun run, AdmittedRequest admitted, ForwardedHeaders headers) {
        mFlow = flow;
        mRun = run;
        mAdmitted = admitted;
        mHeaders = headers;
    }

    /** Sends the request to a server. */
    BackendCall send(ServerLoad chosen, boolean isCold, long leftNanos, long now) {
        mFlow.placer().sent(chosen, now);
        mAdmitted.caller().recordSent(now);
        mAdmitted.facts().retryBudget(mFlow.retries().remainingRetries(mAdmitted.service(), now));
        mAdmitted.facts().sent(chosen.server().id(), chosen.server().zone(), isCold, now);
        IncomingRequest received = mAdmitted.request();
        BackendRequest request =
                new BackendRequest(
                        received.headers().get(mFlow.names().requestId()),
                        received.method(),
                        received.target(),
                        mHeaders.to(chosen.server().id(), leftNanos),
                        received.body(),
                        Math.max(1, leftNanos),
                        mAdmitted.caller().route().idempotent());
        return mFlow.connections()
                .send(
                        chosen.server(),
                        mFlow.connectionShare(mAdmitted.service()),
                        request,
                        new AttemptListener(mFlow, mRun, mAdmitted.facts(), chosen, now));
    }
}
