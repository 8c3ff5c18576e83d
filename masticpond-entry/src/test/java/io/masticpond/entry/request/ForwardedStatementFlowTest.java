package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.entry.backend.BackendRequest;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.forward.ForwardEndpoint;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Guards against an instance that passes on the answer to a forwarded request and then sends
 * requests to the backend server although it stated in that answer that it takes none.
 */
class ForwardedStatementFlowTest extends AbstractForwardFlowTest {

    private static final int KEYS = 60;
    private static final String STATEMENT = "Masticpond-Forward-Statement";
    private static final String OPTION = "Masticpond-Forward-Statements";
    private static final String OUTCOME = "Masticpond-Forward-Outcome";

    /** The instance that sends the forwarded requests to backend servers. */
    private static final class Sender extends AbstractRequestFlowTest {}

    private final Sender mSender = new Sender();
    private RequestFlow mSenderFlow;
    private RequestFlow mFlow;
    private FakeResponder mClient;
    private FakeResponder mForwarder;

    /** Has an instance that reaches no server forward a request, which the other one sends. */
    private FakeConnections.Call forward(boolean idempotent, int attempts) {
        mSenderFlow = mSender.flow(idempotent, attempts);
        mFlow = flowWithoutServers(idempotent, 1);
        forwardAnother();
        return mSender.mConnections.last();
    }

    private void forwardAnother() {
        mClient = handleRequest(mFlow, "k");
        mForwarder = accept(lastForwarded().mRequest.headers());
    }

    private FakeResponder accept(HttpHeaders headers) {
        BackendRequest sent = lastForwarded().mRequest;
        long now = mSender.mTime.monotonicNanos();
        FakeResponder responder = new FakeResponder();
        new ForwardEndpoint(NAMES, mSenderFlow.forwardedRequests())
                .handle(
                        new IncomingRequest(
                                sent.method(),
                                sent.target(),
                                headers.copy(),
                                Unpooled.EMPTY_BUFFER,
                                now,
                                now),
                        responder);
        return responder;
    }

    private static String[] headersOf(OutgoingAnswer answer) {
        List<String> all = new ArrayList<>();
        answer.headers().forEach(each -> all.addAll(List.of(each.getKey(), each.getValue())));
        return all.toArray(String[]::new);
    }

    /** Passes the answer of the other instance on. */
    private void passOn() {
        OutgoingAnswer answer = mForwarder.mAnswers.get(0);
        lastForwarded().answer(answer.status(), headersOf(answer));
    }

    /** Returns how many of many requests with many keys an instance sends to a server. */
    private static long sendsTo(
            AbstractRequestFlowTest instance, RequestFlow flow, BackendServerId server) {
        int before = instance.mConnections.mCalls.size();
        for (int number = 0; number < KEYS; number++) {
            int calls = instance.mConnections.mCalls.size();
            instance.handleRequest(flow, number % 3 == 0 ? null : "key-" + number);
            if (instance.mConnections.mCalls.size() > calls) {
                instance.mConnections.last().answer(200, "Seal", "s");
            }
            instance.passTime(Duration.ofMillis(1));
        }
        assertThat(instance.mConnections.mCalls).hasSizeGreaterThan(before);
        return instance.mConnections.mCalls.stream()
                .skip(before)
                .filter(call -> call.mServer.id().equals(server))
                .count();
    }

    private void assertNoneSendsTo(BackendServerId server, String when) {
        reachServersAgain(mFlow);
        assertThat(sendsTo(this, mFlow, server)).as("passed on, %s", when).isZero();
        assertThat(sendsTo(mSender, mSenderFlow, server)).as("sent, %s", when).isZero();
    }

    private static void update(RequestFlow flow, Map<BackendServerId, RegisteredServer> servers) {
        FleetSnapshot all = FakeSnapshot.of(true, 2, false, Set.of());
        flow.update(
                EntryState.of(
                        new FleetSnapshot(2, all.routing(), servers, Set.of()), flow.state()));
    }

    private static Map<BackendServerId, RegisteredServer> servers() {
        return new HashMap<>(FakeSnapshot.of(true, 2, false, Set.of()).servers());
    }

    @Example
    void readsThatServerLeavesInAnswersOfAnyStatus() {
        for (int status : List.of(200, 404, 500, 503)) {
            FakeConnections.Call call = forward(false, 1);
            call.answer(status, "Seal", "s", "Leaving", "1");
            passOn();
            assertThat(mClient.status()).isEqualTo(status);
            assertThat(mClient.mAnswers.get(0).headers().names())
                    .noneMatch(name -> name.startsWith("Masticpond"));
            assertNoneSendsTo(call.mServer.id(), "status " + status);
        }
    }

    /** Guards against statements that are lost because the refusal itself is not passed on. */
    @Example
    void readsStatementOfServerThatRejectedTheRequest() {
        for (int attempts : List.of(1, 2)) {
            FakeConnections.Call call = forward(true, attempts);
            call.answer(503, "Not-Run", "1", "Leaving", "1");
            if (attempts > 1) {
                mSender.mConnections.last().answer(200, "Seal", "s");
            }
            passOn();
            assertThat(mClient.status()).isEqualTo(attempts > 1 ? 200 : 503);
            assertNoneSendsTo(call.mServer.id(), attempts + " attempts");
        }
    }

    /** Guards against statements that are lost with an answer that is not passed on. */
    @Example
    void readsStatementOfAnswerThatBrokeOffAtTheOtherInstance() {
        FakeConnections.Call call = forward(false, 1);
        call.mListener.answerBegan(200, new DefaultHttpHeaders().set("Leaving", "1"));
        call.fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        passOn();
        assertThat(mClient.status()).isEqualTo(502);
        assertNoneSendsTo(call.mServer.id(), "broken off");
    }

    private HttpHeaders headOfAnswerThatLeaves(FakeConnections.Call call) {
        call.answer(200, "Seal", "s", "Leaving", "1");
        HttpHeaders head = new DefaultHttpHeaders();
        head.add(mForwarder.mAnswers.get(0).headers());
        return head;
    }

    /** Guards against statements that are read with the complete answer only. */
    @Example
    void readsStatementOfAnswerThatBreaksOffBetweenInstances() {
        FakeConnections.Call call = forward(false, 1);
        lastForwarded().mListener.answerBegan(200, headOfAnswerThatLeaves(call));
        lastForwarded().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertNoneSendsTo(call.mServer.id(), "broken off between instances");
    }

    /** Guards against statements that are dropped since nobody waits for the answer any more. */
    @Example
    void readsStatementOfLateAnswerAndOfClientThatHasGone() {
        FakeConnections.Call late = forward(false, 1);
        HttpHeaders lateHead = headOfAnswerThatLeaves(late);
        passTime(Duration.ofSeconds(2));
        lastForwarded().mListener.answerBegan(200, lateHead);
        assertNoneSendsTo(late.mServer.id(), "late");
        FakeConnections.Call unwanted = forward(false, 1);
        HttpHeaders unwantedHead = headOfAnswerThatLeaves(unwanted);
        mClient.disconnect();
        lastForwarded().mListener.answerBegan(200, unwantedHead);
        assertNoneSendsTo(unwanted.mServer.id(), "the client has gone");
    }

    @Example
    void keepsPauseForTheTimeThatIsLeftOfIt() {
        FakeConnections.Call call = forward(true, 2);
        call.answer(503, "Not-Run", "1", "Retry-After", "10");
        mSender.passTime(Duration.ofMillis(500));
        mSender.mConnections.last().answer(200, "Seal", "s");
        passOn();
        reachServersAgain(mFlow);
        BackendServerId paused = call.mServer.id();
        assertThat(sendsTo(this, mFlow, paused)).as("during the pause").isZero();
        passTime(Duration.ofSeconds(10));
        assertThat(sendsTo(this, mFlow, paused)).as("after the pause").isPositive();
        assertThat(mForwarder.mAnswers.get(0).headers().getAll(STATEMENT))
                .contains(paused.value() + "; pause=9.5");
    }

    @Example
    void readsLimitAndThatItIsLifted() {
        FakeConnections.Call call = forward(false, 1);
        call.answer(200, "Seal", "s", "Limit", "4");
        passOn();
        assertThat(mFlow.statements().limits().views())
                .extracting(LimitView::server)
                .containsExactly(call.mServer.id());
        assertThat(mFlow.statements().limits().views().get(0).perSecond()).isEqualTo(4);
        assertThat(isLimited(call.mServer.id())).isTrue();
        passTime(Duration.ofSeconds(1));
        handleRequest(mFlow, "k");
        lastForwarded()
                .answer(
                        200,
                        "Seal",
                        "s",
                        OUTCOME,
                        "ANSWERED",
                        STATEMENT,
                        call.mServer.id().value());
        assertThat(isLimited(call.mServer.id())).isFalse();
    }

    private boolean isLimited(BackendServerId server) {
        return mFlow.servers().of(SERVICE).stream()
                .filter(load -> load.server().id().equals(server))
                .anyMatch(load -> mServerLimits.isLimited(load, mTime.monotonicNanos()));
    }

    /** Guards against memory that other instances can fill with names of servers. */
    @Example
    void ignoresStatementsOfUnknownServersAndMalformedOnes() {
        forward(false, 1).answer(200, "Seal", "s");
        List<String> values =
                List.of(
                        "unknown; leaving=1",
                        "",
                        ";",
                        "; leaving=1",
                        "a b; leaving=1",
                        "server-1; x");
        for (String value : values) {
            HttpHeaders head = new DefaultHttpHeaders().set(OUTCOME, "ANSWERED");
            lastForwarded().mListener.answerBegan(200, head.add(STATEMENT, value));
            assertThat(head.contains(STATEMENT)).isFalse();
        }
        assertThat(mFlow.statements().withdrawals()).isEmpty();
        assertThat(mFlow.statements().malformed()).isZero();
    }

    /** Guards against a statement that is lost while the entry of its server is created again. */
    @Example
    void keepsStatementOfServerWhoseEntryIsRecreated() {
        FakeConnections.Call call = forward(false, 1);
        call.answer(200, "Seal", "s", "Leaving", "1");
        Map<BackendServerId, RegisteredServer> without = servers();
        RegisteredServer entry = without.remove(call.mServer.id());
        update(mFlow, without);
        passOn();
        Map<BackendServerId, RegisteredServer> recreated = servers();
        recreated.put(entry.id(), entry.withRun(1));
        update(mFlow, recreated);
        reachServersAgain(mFlow);
        assertThat(sendsTo(this, mFlow, entry.id())).isZero();
    }

    /** Guards against a new run of a server that is taken to leave for as long as it runs. */
    @Example
    void statementOfFormerRunEndsWithItsMemory() {
        FakeConnections.Call call = forward(false, 1);
        call.answer(200, "Seal", "s", "Leaving", "1");
        Map<BackendServerId, RegisteredServer> restarted = servers();
        restarted.computeIfPresent(call.mServer.id(), (id, entry) -> entry.withRun(1));
        passTime(Duration.ofMillis(100));
        update(mFlow, restarted);
        passOn();
        passTime(Duration.ofMinutes(3));
        update(mFlow, restarted);
        reachServersAgain(mFlow);
        assertThat(sendsTo(this, mFlow, call.mServer.id())).isPositive();
    }

    /** Guards against headers of this version at instances, servers and clients of former ones. */
    @Example
    void exchangesNoStatementsWithInstancesOfFormerVersions() {
        FakeConnections.Call call = forward(false, 1);
        assertThat(lastForwarded().mRequest.headers().get("Connection")).isEqualTo(OPTION);
        assertThat(call.mRequest.headers().contains("Connection")).isFalse();
        HttpHeaders former = lastForwarded().mRequest.headers().copy().remove("Connection");
        FakeResponder responder = accept(former);
        mSender.mConnections.last().answer(200, "Seal", "s", "Leaving", "1", STATEMENT, "x");
        assertThat(responder.mAnswers.get(0).headers().contains(STATEMENT)).isFalse();
        lastForwarded().answer(200, "Seal", "s", "Leaving", "1", OUTCOME, "ANSWERED");
        assertThat(mClient.status()).isEqualTo(200);
        assertThat(mFlow.statements().withdrawals()).isEmpty();
    }
}
