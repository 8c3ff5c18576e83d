package io.masticpond.entry.request;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.reachability.ForwardingPeer;
import io.masticpond.core.reachability.ReachabilityMonitor;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.routing.Route;
import io.masticpond.core.statement.AttributedStatement;
import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.backend.BackendCall;
import io.masticpond.entry.backend.BackendRequest;
import io.masticpond.entry.forward.ForwardListener;
import io.masticpond.entry.forward.ForwardRefusal;
import io.masticpond.entry.forward.ForwardTerms;
import io.masticpond.entry.forward.PeerRequests;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.AttemptResult;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Forwarding of one request to other instances, one after the other, until one of them processes
 * it. A request is forwarded once at most between its client and a backend server.
 */
final class ForwardAttempts implements ForwardListener {

    private static final int MAXIMUM_PEERS = 3;

    private final RequestFlow mFlow;
    private final RequestRun mRun;
    private final AdmittedRequest mAdmitted;
    private final ForwardedHeaders mHeaders;
    private final Set<InstanceId> mTried = new HashSet<>(MAXIMUM_PEERS);
    private BackendCall mCall;

    ForwardAttempts(
            RequestFlow flow, RequestRun run, AdmittedRequest admitted, ForwardedHeaders headers) {
        mFlow = flow;
        mRun = run;
        mAdmitted = admitted;
        mHeaders = headers;
    }

    private ReachabilityMonitor monitor() {
        return mFlow.forwarding().monitor();
    }

    /** Determines whether the request must not be sent to servers by this instance. */
    boolean isDue(boolean isRepeat, long now) {
        ServiceId service = mAdmitted.service();
        double fraction = mAdmitted.isForwarded() ? 0 : mFlow.forwarding().nextRandom();
        if (monitor().isDirect(service, fraction, now)
                && (!isRepeat || monitor().isRepeatDirect(service, now))) {
            return false;
        }
        return monitor().state(service) == ReachabilityState.UNREACHABLE || choose().isPresent();
    }

    /** Determines whether another instance may reach servers that this one does not reach. */
    boolean isPossible() {
        return monitor().state(mAdmitted.service()) != ReachabilityState.REACHABLE
                && choose().isPresent();
    }

    private Optional<ForwardingPeer> choose() {
        if (mAdmitted.isForwarded() || mTried.size() >= MAXIMUM_PEERS) {
            return Optional.empty();
        }
        Route route = mAdmitted.caller().route();
        return mFlow.forwarding()
                .peers()
                .flatMap(peers -> peers.choose(mAdmitted.service(), route::allows, mTried));
    }

    /**
     * Forwards the request.
     *
     * @return whether there is an instance to forward it to
     */
    boolean send(int attempts, long leftNanos, long now) {
        Optional<ForwardingPeer> peer = choose();
        peer.ifPresent(each -> send(each, attempts, leftNanos, now));
        return peer.isPresent();
    }

    private void send(ForwardingPeer peer, int attempts, long leftNanos, long now) {
        if (mTried.isEmpty()) {
            mAdmitted.caller().recordSent(now);
            mFlow.forwarding().recordForwarded();
        }
        mTried.add(peer.id());
        mAdmitted.facts().forwarded(peer.id(), peer.zone(), now);
        IncomingRequest request = mAdmitted.request();
        PeerRequests peers = mFlow.forwarding().peers().orElseThrow();
        mCall =
                peers.send(
                        peer,
                        new ForwardTerms(mAdmitted.service(), mAdmitted.caller().key(), attempts),
                        new BackendRequest(
                                request.headers().get(mFlow.names().requestId()),
                                request.method(),
                                request.target(),
                                mHeaders.toInstance(leftNanos),
                                request.body(),
                                Math.max(1, leftNanos),
                                mAdmitted.caller().route().idempotent()),
                        this);
    }

    boolean isInFlight() {
        return mCall != null;
    }

    /** Cancels the call in flight; returns whether the request may have run. */
    boolean cancel() {
        BackendCall call = mCall;
        ended(AttemptResult.CANCELLED, 0);
        boolean isWritten = call.isWritten();
        call.cancel();
        return isWritten;
    }

    private void ended(AttemptResult result, int status) {
        mCall = null;
        mAdmitted.facts().attemptEnded(result, status, mFlow.nowNanos());
    }

    @Override
    public void onStatements(List<AttributedStatement> statements, long sentNanos) {
        mFlow.statements().applyForwarded(mFlow.servers(), statements, sentNanos);
    }

    @Override
    public void onAnswered(BackendAnswer answer) {
        ended(AttemptResult.ANSWERED, answer.status());
        mRun.onForwardAnswered(answer);
    }

    @Override
    public void onRefused(ForwardRefusal refusal) {
        boolean isConnected = !refusal.cause().equals(ForwardRefusal.NOT_CONNECTED);
        ended(isConnected ? AttemptResult.TURNED_AWAY : AttemptResult.NOT_CONNECTED, 0);
        Rejection rejection =
                new Rejection(refusal.cause(), refusal.status(), refusal.retryAfter());
        mRun.onForwardRefused(rejection, refusal.isOfInstance());
    }

    @Override
    public void onUncertain(String cause) {
        ended(AttemptResult.BROKEN_OFF, 0);
        mRun.onForwardUncertain(cause);
    }
}
