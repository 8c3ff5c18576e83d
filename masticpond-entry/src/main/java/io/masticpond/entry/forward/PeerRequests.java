package io.masticpond.entry.forward;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.reachability.ForwardingPeer;
import io.masticpond.core.reachability.ForwardingTargets;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.backend.BackendCall;
import io.masticpond.entry.backend.BackendCallListener;
import io.masticpond.entry.backend.BackendConnections;
import io.masticpond.entry.backend.BackendRequest;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.log.RequestOutcome;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Sender of requests to other instances, over pooled HTTP connections like those to backend
 * servers. For use on the traffic thread only.
 *
 * @since 0.3
 */
public final class PeerRequests {

    private static final int CONNECTIONS_PER_PEER = 64;
    private static final ServiceId PEERS = new ServiceId("instances");

    private final ForwardHeaders mHeaders;
    private final BackendConnections mConnections;
    private final ForwardingTargets mTargets;
    private final TimeSource mTimeSource;
    private final Map<InstanceId, RegisteredServer> mServers = new HashMap<>();

    /**
     * Creates a sender that knows no other instance.
     *
     * @param headers the codec of the headers
     * @param connections the connections to other instances, not shared with backend servers
     * @param targets the selector of the instances
     * @param timeSource the clock
     */
    public PeerRequests(
            ForwardHeaders headers,
            BackendConnections connections,
            ForwardingTargets targets,
            TimeSource timeSource) {
        mHeaders = Assert.notNull(headers, "A codec");
        mConnections = Assert.notNull(connections, "Connections");
        mTargets = Assert.notNull(targets, "Targets");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    /**
     * Sets the time for which a statement of another instance holds.
     *
     * @param memory the time
     */
    public void setMemory(Duration memory) {
        mTargets.setMemory(memory);
    }

    /**
     * Updates the other instances.
     *
     * @param peers the ready instances, with the addresses at which they accept forwarded requests
     */
    public void update(Map<ForwardingPeer, ServerAddress> peers) {
        mTargets.update(peers.keySet());
        Set<InstanceId> present = new HashSet<>();
        peers.forEach(
                (peer, address) -> {
                    present.add(peer.id());
                    mServers.put(peer.id(), server(peer, address));
                });
        for (InstanceId id : Set.copyOf(mServers.keySet())) {
            if (!present.contains(id)) {
                mConnections.removeServer(mServers.remove(id));
            }
        }
    }

    private static RegisteredServer server(ForwardingPeer peer, ServerAddress address) {
        BackendServerId id = new BackendServerId(peer.id().value());
        return new RegisteredServer(id, PEERS, address, peer.zone(), 1, false, 0);
    }

    /**
     * Selects the instance to which a request is forwarded.
     *
     * @param service the service of the request
     * @param allowed whether the request may be sent to a region
     * @param tried the instances that have refused the request
     * @return the instance, or empty if there is none
     */
    public Optional<ForwardingPeer> choose(
            ServiceId service, Predicate<RegionId> allowed, Set<InstanceId> tried) {
        return mTargets.choose(service, allowed, tried, mTimeSource.monotonicNanos());
    }

    /**
     * Forwards a request.
     *
     * @param peer the instance, as selected
     * @param terms the terms
     * @param request the request, to whose headers the terms are added
     * @param listener the listener for its end, never called before this method returns
     * @return the call in progress
     */
    public BackendCall send(
            ForwardingPeer peer,
            ForwardTerms terms,
            BackendRequest request,
            ForwardListener listener) {
        mHeaders.writeTerms(terms, request.headers());
        mTargets.sent(peer.id());
        PeerCall call = new PeerCall(peer.id(), terms.service(), listener);
        call.mCall =
                mConnections.send(mServers.get(peer.id()), CONNECTIONS_PER_PEER, request, call);
        return call;
    }

    /** Call to another instance. */
    private final class PeerCall implements BackendCall, BackendCallListener {

        private final InstanceId mPeer;
        private final ServiceId mService;
        private final ForwardListener mListener;
        private final long mSentNanos = mTimeSource.monotonicNanos();
        private BackendCall mCall;

        PeerCall(InstanceId peer, ServiceId service, ForwardListener listener) {
            mPeer = peer;
            mService = service;
            mListener = listener;
        }

        @Override
        public void cancel() {
            mTargets.ended(mPeer);
            mCall.cancel();
        }

        @Override
        public boolean isWritten() {
            return mCall.isWritten();
        }

        @Override
        public boolean isReadingPaused() {
            return mCall.isReadingPaused();
        }

        @Override
        public void answerBegan(int status, HttpHeaders headers) {
            mListener.onStatements(mHeaders.takeStatements(headers), mSentNanos);
        }

        @Override
        public void answered(BackendAnswer answer) {
            mTargets.ended(mPeer);
            switch (mHeaders.takeOutcome(answer.headers()).orElse(RequestOutcome.GAVE_UP)) {
                case ANSWERED -> {
                    mTargets.processed(mPeer, mService);
                    mListener.onAnswered(answer);
                }
                case REFUSED -> {
                    answer.body().release();
                    refused(
                            new ForwardRefusal(
                                    answer.status(),
                                    mHeaders.takeCause(answer.headers()),
                                    mHeaders.retryAfter(answer.headers())));
                }
                default -> {
                    answer.body().release();
                    mTargets.processed(mPeer, mService);
                    mListener.onUncertain(mHeaders.takeCause(answer.headers()));
                }
            }
        }

        @Override
        public void failed(CallFailure failure) {
            mTargets.ended(mPeer);
            if (failure.verdict() == Verdict.DID_NOT_RUN) {
                refused(ForwardRefusal.notConnected());
            } else {
                mListener.onUncertain(failure.kind().isTimeout() ? "timeout" : "peer-broken-off");
            }
        }

        private void refused(ForwardRefusal refusal) {
            long now = mTimeSource.monotonicNanos();
            if (refusal.cause().equals(ForwardRefusal.UNREACHABLE)) {
                mTargets.unreachable(mPeer, mService, now);
            } else if (refusal.isOfInstance()) {
                mTargets.busy(mPeer, now);
            } else {
                mTargets.processed(mPeer, mService);
            }
            mListener.onRefused(refusal);
        }
    }
}
