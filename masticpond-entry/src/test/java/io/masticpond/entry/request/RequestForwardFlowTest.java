package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.reachability.ReachabilityMonitor;
import io.masticpond.core.reachability.ReachabilitySettings;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.time.Moment;
import io.masticpond.core.workspace.KeyDigest;
import io.masticpond.core.workspace.Workspace;
import io.masticpond.core.workspace.WorkspaceTable;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.backend.ServerReachability;
import io.masticpond.entry.forward.ForwardEndpoint;
import io.masticpond.entry.forward.ForwardTerms;
import io.masticpond.entry.http.IncomingRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Guards against forwarded requests that run twice, are refused although they may have run, carry a
 * client's key, or are forwarded in a circle.
 */
class RequestForwardFlowTest extends AbstractForwardFlowTest {

    private static final String OUTCOME = "Masticpond-Forward-Outcome";
    private static final String CAUSE = "Masticpond-Forward-Cause";

    @Example
    void forwardsRequestWithoutTheKeyOfTheClientAndPassesTheAnswerOn() {
        RequestFlow flow = flowWithoutServers(false, 1);
        mAuthenticator.update(configurationWithKey(flow, "secret"));
        mAuthenticator.recordProof(Moment.of(mTime));
        IncomingRequest request = request();
        request.headers().set("Credential", "secret").set("Workspace", "forged");
        flow.handle(request, mResponder);
        assertThat(mConnections.mCalls).isEmpty();
        HttpHeaders sent = lastForwarded().mRequest.headers();
        assertThat(sent.contains("Credential")).isFalse();
        assertThat(sent.contains("Workspace")).isFalse();
        assertThat(sent.get("Wait")).isEqualTo("800");
        assertThat(sent.contains("For")).isFalse();
        assertThat(lastForwarded().mRequest.target()).isEqualTo("/a/x?y=1");
        lastForwarded().answer(200, "Seal", "s", OUTCOME, "ANSWERED");
        assertThat(mResponder.status()).isEqualTo(200);
        HttpHeaders answer = mResponder.mAnswers.get(0).headers();
        assertThat(answer.get("Seal")).isEqualTo("s");
        assertThat(answer.contains(OUTCOME)).isFalse();
    }

    private static RoutingConfiguration configurationWithKey(RequestFlow flow, String key) {
        RoutingConfiguration plain = flow.state().snapshot().routing().orElseThrow();
        Workspace workspace =
                new Workspace(
                        new WorkspaceId("shop"),
                        Set.of(KeyDigest.of(key)),
                        Optional.empty(),
                        OptionalInt.empty(),
                        Set.of());
        return new RoutingConfiguration(
                plain.version() + 1,
                plain.routes(),
                plain.services(),
                plain.limits(),
                Optional.of(new WorkspaceTable(List.of(workspace))));
    }

    @Example
    void doesNotRefuseRequestThatMayHaveRunAtAnotherInstance() {
        RequestFlow flow = flowWithoutServers(false, 2);
        handle(flow);
        lastForwarded().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mPeerConnections.mCalls).hasSize(1);
        assertThat(mResponder.status()).isEqualTo(502);
    }

    @Example
    void answerWithoutOutcomeMayHaveRun() {
        RequestFlow flow = flowWithoutServers(false, 2);
        handle(flow);
        lastForwarded().answer(503);
        assertThat(mResponder.status()).isEqualTo(502);
    }

    @Example
    void requestThatDidNotRunGoesToAnotherInstance() {
        RequestFlow flow = flowWithoutServers(false, 3);
        handle(flow);
        lastForwarded().answer(503, OUTCOME, "REFUSED", CAUSE, "servers-unreachable");
        lastForwarded().fail(Verdict.DID_NOT_RUN, CallFailure.Kind.NOT_CONNECTED);
        assertThat(mPeerConnections.mCalls).hasSize(3);
        lastForwarded().answer(200, "Seal", "s", OUTCOME, "ANSWERED");
        assertThat(mResponder.status()).isEqualTo(200);
    }

    @Example
    void refusalForLoadEndsTheRequestWithItsCauseAndTime() {
        RequestFlow flow = flowWithoutServers(true, 3);
        handle(flow);
        lastForwarded().answer(503, OUTCOME, "REFUSED", CAUSE, "overload", "Retry-After", "0.250");
        assertThat(mPeerConnections.mCalls).hasSize(1);
        assertThat(mResponder.status()).isEqualTo(503);
        assertThat(mResponder.mAnswers.get(0).headers().get("Retry-After")).isEqualTo("0.250");
    }

    @Example
    void rejectsAtOnceWhenNoInstanceReachesTheService() {
        RequestFlow flow = flowWithoutServers(true, 2);
        handle(flow);
        lastForwarded().answer(503, OUTCOME, "REFUSED", CAUSE, "servers-unreachable");
        lastForwarded().answer(503, OUTCOME, "REFUSED", CAUSE, "servers-unreachable");
        assertThat(mResponder.status()).isEqualTo(503);
        FakeResponder second = handleRequest(flow, "other");
        assertThat(second.status()).isEqualTo(503);
        assertThat(mPeerConnections.mCalls).hasSize(2);
    }

    @Example
    void cancelsForwardedRequestWhenTheClientDisconnects() {
        RequestFlow flow = flowWithoutServers(true, 1);
        handle(flow);
        mResponder.disconnect();
        assertThat(lastForwarded().mCancelled).isTrue();
    }

    @Example
    void requestThatCannotConnectIsForwardedBeforeTheLossIsConfirmed() {
        RequestFlow flow = flowWithPeers(false, 1);
        handle(flow);
        for (int attempt = 0; attempt < 3; attempt++) {
            mConnections.last().fail(Verdict.DID_NOT_RUN, CallFailure.Kind.NOT_CONNECTED);
        }
        assertThat(mPeerConnections.mCalls).hasSize(1);
        lastForwarded().answer(200, "Seal", "s", OUTCOME, "ANSWERED");
        assertThat(mResponder.status()).isEqualTo(200);
    }

    @Example
    void pendingIdempotentRequestIsForwardedOnceTheLossIsConfirmed() {
        RequestFlow flow = flowWithPeers(true, 1);
        handle(flow);
        loseServers(flow);
        flow.forwardPending(flow.forwarding().monitor().views().get(0));
        assertThat(mConnections.last().mCancelled).isTrue();
        assertThat(mPeerConnections.mCalls).hasSize(1);
    }

    @Example
    void pendingOnceOnlyRequestIsNotSentAgain() {
        RequestFlow flow = flowWithPeers(false, 1);
        handle(flow);
        loseServers(flow);
        flow.forwardPending(flow.forwarding().monitor().views().get(0));
        assertThat(mConnections.last().mCancelled).isFalse();
        assertThat(mPeerConnections.mCalls).isEmpty();
    }

    @Example
    void instanceThatReachesNoServerReportsNoServerAsEnded() {
        RequestFlow flow = flowWithPeers(false, 1);
        handle(flow);
        loseServers(flow);
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        passTime(Duration.ofMillis(30));
        mConnections.mChecks.forEach(check -> check.listener().accept(ServerReachability.REFUSED));
        assertThat(flow.crashGuard().serverEnds()).isZero();
        assertThat(flow.crashGuard().views()).isEmpty();
    }

    private void suspectServers(RequestFlow flow) {
        long now = mTime.monotonicNanos();
        flow.forwarding().monitor().recordFailed(SERVICE, new BackendServerId("server-0"), now);
        flow.forwarding().monitor().recordFailed(SERVICE, new BackendServerId("server-1"), now);
    }

    /** Guards against requests that are lost on a link that is being probed. */
    @Example
    void requestIsForwardedWhileConnectionsFail() {
        RequestFlow flow = flowWithPeers(false, 1);
        suspectServers(flow);
        handle(flow);
        assertThat(mConnections.mCalls).isEmpty();
        assertThat(mPeerConnections.mCalls).hasSize(1);
    }

    /** Guards against an instance that tries no server during a suspicion nobody else can help. */
    @Example
    void requestIsSentDirectlyWhileConnectionsFailIfThereIsNoOtherInstance() {
        RequestFlow flow = flowWithPeers(false, 0);
        suspectServers(flow);
        handle(flow);
        assertThat(mConnections.mCalls).hasSize(1);
    }

    /** Guards against requests that circle between instances with the same suspicion. */
    @Example
    void forwardedRequestIsSentDirectlyWhileConnectionsFail() {
        RequestFlow flow = flowWithPeers(true, 1);
        suspectServers(flow);
        handleForwarded(flow, 2);
        assertThat(mPeerConnections.mCalls).isEmpty();
        assertThat(mConnections.mCalls).hasSize(1);
    }

    /** Guards against a repeat on a link that fails at some servers and not at others. */
    @Example
    void repeatIsForwardedAfterRefutedSuspicion() {
        RequestFlow flow = flowWithPeers(true, 1);
        suspectServers(flow);
        ReachabilityMonitor monitor = flow.forwarding().monitor();
        monitor.probeStarted(SERVICE, mTime.monotonicNanos());
        monitor.probeEnded(SERVICE, true, mTime.monotonicNanos());
        handle(flow);
        assertThat(mPeerConnections.mCalls).isEmpty();
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mPeerConnections.mCalls).hasSize(1);
    }

    /** Guards against hops while one server ends, which another one can stand in for. */
    @Example
    void repeatIsSentDirectlyWithoutSuspicion() {
        RequestFlow flow = flowWithPeers(true, 1);
        handle(flow);
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.mCalls).hasSize(2);
        assertThat(mPeerConnections.mCalls).isEmpty();
    }

    /** Guards against a once-only request that runs twice, here and at another instance. */
    @Example
    void onceOnlyRequestThatMayHaveRunIsNotForwardedWhileConnectionsFail() {
        RequestFlow flow = flowWithPeers(false, 1);
        handle(flow);
        suspectServers(flow);
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mPeerConnections.mCalls).isEmpty();
        assertThat(mResponder.status()).isEqualTo(502);
    }

    private void resetIdleConnections(RequestFlow flow) {
        flow.servers()
                .of(SERVICE)
                .forEach(each -> mConnections.mIdleResetListener.accept(each.server()));
    }

    /** Guards against a request that is lost to find a cut that all idle connections showed. */
    @Example
    void resetOfAllIdleConnectionsHasTheNextRequestForwarded() {
        RequestFlow flow = flowWithPeers(false, 1);
        resetIdleConnections(flow);
        handle(flow);
        assertThat(mConnections.mCalls).isEmpty();
        assertThat(mPeerConnections.mCalls).hasSize(1);
    }

    /** Guards against servers that end, as those of one zone, being taken for a cut. */
    @Example
    void resetOfSomeIdleConnectionsRaisesNoSuspicion() {
        RequestFlow flow = flowWithPeers(false, 1);
        mConnections.mIsConnected = true;
        resetIdleConnections(flow);
        assertThat(flow.forwarding().monitor().state(SERVICE))
                .isEqualTo(ReachabilityState.REACHABLE);
    }

    private FakeResponder handleForwarded(RequestFlow flow, int attempts) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", "host").set("Id", "one").set("Wait", "800");
        mHeaders.writeTerms(new ForwardTerms(SERVICE, Optional.empty(), attempts), headers);
        long now = mTime.monotonicNanos();
        FakeResponder responder = new FakeResponder();
        new ForwardEndpoint(NAMES, flow.forwardedRequests())
                .handle(
                        new IncomingRequest(
                                HttpMethod.GET, "/a/x", headers, Unpooled.EMPTY_BUFFER, now, now),
                        responder);
        return responder;
    }

    @Example
    void sendsForwardedRequestToServerWithoutTheTerms() {
        RequestFlow flow = flowWithPeers(true, 1);
        FakeResponder responder = handleForwarded(flow, 1);
        HttpHeaders sent = mConnections.last().mRequest.headers();
        assertThat(sent.names()).noneMatch(name -> name.startsWith("Masticpond"));
        mConnections.last().answer(200, "Seal", "s");
        assertThat(responder.status()).isEqualTo(200);
        assertThat(responder.mAnswers.get(0).headers().get(OUTCOME)).isEqualTo("ANSWERED");
    }

    @Example
    void keepsToTheAttemptsThatAreLeft() {
        RequestFlow flow = flowWithPeers(true, 1);
        FakeResponder responder = handleForwarded(flow, 1);
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(responder.mAnswers.get(0).headers().get(OUTCOME)).isEqualTo("GAVE_UP");
    }

    @Example
    void forwardedRequestIsNotForwardedAgain() {
        RequestFlow flow = flowWithoutServers(true, 2);
        FakeResponder responder = handleForwarded(flow, 2);
        assertThat(mPeerConnections.mCalls).isEmpty();
        assertThat(responder.status()).isEqualTo(503);
        assertThat(responder.mAnswers.get(0).headers().get(OUTCOME)).isEqualTo("REFUSED");
        assertThat(responder.mAnswers.get(0).headers().get(CAUSE)).isEqualTo("servers-unreachable");
    }

    @Example
    void refusesMoreForwardedRequestsThanTheSettingsAllow() {
        RequestFlow flow = flowWithPeers(true, 0);
        ReachabilitySettings all = ReachabilitySettings.DEFAULT;
        flow.forwarding()
                .applySettings(
                        new ReachabilitySettings(
                                all.silence(),
                                all.failureWindow(),
                                all.probes(),
                                all.probeInterval(),
                                all.ramp(),
                                all.peerMemory(),
                                1));
        FakeResponder first = handleForwarded(flow, 2);
        FakeResponder second = handleForwarded(flow, 2);
        assertThat(second.mAnswers.get(0).headers().get(CAUSE)).isEqualTo("forwarding-busy");
        mConnections.last().answer(200, "Seal", "s");
        assertThat(first.status()).isEqualTo(200);
        handleForwarded(flow, 2);
        assertThat(mConnections.mCalls).hasSize(2);
    }

    @Example
    void requestWithoutTermsIsNotProcessed() {
        RequestFlow flow = flowWithPeers(true, 0);
        new ForwardEndpoint(NAMES, flow.forwardedRequests()).handle(request(), mResponder);
        assertThat(mConnections.mCalls).isEmpty();
        assertThat(mResponder.mAnswers).isEmpty();
    }
}
