package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.limit.ServerEvaluation;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.statement.WithdrawalSettings;
import io.masticpond.entry.backend.CallFailure;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Tests that no kind of request bypasses the statement of a backend server that it takes no
 * requests.
 */
class ServerWithdrawalFlowTest extends AbstractRequestFlowTest {

    private static final int KEYS = 60;

    /** Has the server of one key answer with the given headers; returns that server. */
    private BackendServerId answerWith(RequestFlow flow, int status, String... headers) {
        handleRequest(flow, "k");
        FakeConnections.Call call = mConnections.last();
        call.answer(status, headers);
        mConnections.mCalls.stream()
                .skip(mConnections.mCalls.indexOf(call) + 1L)
                .toList()
                .forEach(again -> again.answer(200, "Seal", "s"));
        return call.mServer.id();
    }

    /**
     * Sends and answers many requests with many keys; returns how many of them a server received.
     */
    private long sendsTo(RequestFlow flow, BackendServerId server) {
        int before = mConnections.mCalls.size();
        for (int number = 0; number < KEYS; number++) {
            handleRequest(flow, number % 3 == 0 ? null : "key-" + number);
            if (mConnections.mCalls.size() > before + number) {
                mConnections.last().answer(200, "Seal", "s");
            }
            passTime(Duration.ofMillis(1));
        }
        return mConnections.mCalls.stream()
                .skip(before)
                .filter(call -> call.mServer.id().equals(server))
                .count();
    }

    private double failureShare(RequestFlow flow, BackendServerId server) {
        return flow.placer()
                .chooser()
                .outlierDetector()
                .evaluation(SERVICE, server, mTime.monotonicNanos())
                .map(ServerEvaluation::failureShare)
                .orElse(0.0);
    }

    private static FleetSnapshot snapshotOf(Map<BackendServerId, RegisteredServer> servers) {
        FleetSnapshot all = FakeSnapshot.of(true, 2, false, Set.of());
        return new FleetSnapshot(2, all.routing(), servers, Set.of());
    }

    private static Map<BackendServerId, RegisteredServer> servers() {
        return new HashMap<>(FakeSnapshot.of(true, 2, false, Set.of()).servers());
    }

    private static void update(RequestFlow flow, Map<BackendServerId, RegisteredServer> servers) {
        flow.update(EntryState.of(snapshotOf(servers), flow.state()));
    }

    @Example
    void stopsSendingAfterAnyLeavingStatement() {
        for (boolean idempotent : List.of(true, false)) {
            for (int status : List.of(200, 404, 500, 503)) {
                RequestFlow flow = flow(idempotent, 2);
                BackendServerId leaving =
                        answerWith(flow, status, "Seal", "s", "Leaving", "1", "Not-Run", "1");
                assertThat(sendsTo(flow, leaving)).as("status %d", status).isZero();
            }
        }
    }

    @Example
    void readsStatementOfBrokenOffOrLateAnswer() {
        RequestFlow flow = flow(true, 2);
        handleRequest(flow, "k");
        FakeConnections.Call call = mConnections.last();
        HttpHeaders headers = new DefaultHttpHeaders().set("Leaving", "1");
        call.mListener.answerBegan(200, headers);
        call.fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.last().mServer.id()).isNotEqualTo(call.mServer.id());
        mConnections.last().answer(200, "Seal", "s");
        assertThat(sendsTo(flow, call.mServer.id())).isZero();
        RequestFlow other = flow(true, 2);
        handleRequest(other, "k");
        FakeConnections.Call late = mConnections.last();
        passTime(Duration.ofSeconds(2));
        late.mListener.answerBegan(200, headers);
        assertThat(sendsTo(other, late.mServer.id())).as("after the client's deadline").isZero();
    }

    @Example
    void retriesAvoidLeavingServers() {
        RequestFlow flow = flow(true, 3);
        BackendServerId leaving = answerWith(flow, 200, "Seal", "s", "Leaving", "1");
        for (int number = 0; number < KEYS; number++) {
            int before = mConnections.mCalls.size();
            handleRequest(flow, "key-" + number);
            mConnections.last().fail(Verdict.DID_NOT_RUN, CallFailure.Kind.NOT_CONNECTED);
            if (mConnections.mCalls.size() > before + 1) {
                mConnections.last().answer(200, "Seal", "s");
            }
            passTime(Duration.ofSeconds(1));
            assertThat(mConnections.mCalls.subList(before, mConnections.mCalls.size()))
                    .noneMatch(call -> call.mServer.id().equals(leaving));
        }
    }

    @Example
    void earlierAnswersAndRegistryDoNotRevokeWithdrawal() {
        RequestFlow flow = flow(true, 2);
        handleRequest(flow, "k");
        handleRequest(flow, "k");
        FakeConnections.Call first = mConnections.mCalls.get(0);
        FakeConnections.Call second = mConnections.mCalls.get(1);
        assertThat(first.mServer.id()).isEqualTo(second.mServer.id());
        second.answer(200, "Seal", "s", "Leaving", "1");
        first.answer(200, "Seal", "s");
        assertThat(sendsTo(flow, first.mServer.id())).isZero();
        update(flow, servers());
        assertThat(sendsTo(flow, first.mServer.id()))
                .as("its registry entry states that it is ready")
                .isZero();
    }

    @Example
    void recreatedEntryDoesNotRevokeWithdrawal() {
        RequestFlow flow = flow(true, 2);
        BackendServerId leaving = answerWith(flow, 200, "Seal", "s", "Leaving", "1");
        Map<BackendServerId, RegisteredServer> without = servers();
        RegisteredServer entry = without.remove(leaving);
        update(flow, without);
        passTime(Duration.ofSeconds(5));
        update(flow, servers());
        assertThat(sendsTo(flow, leaving)).as("of the same run").isZero();
        Map<BackendServerId, RegisteredServer> recreated = servers();
        recreated.put(leaving, entry.withRun(1));
        update(flow, recreated);
        assertThat(sendsTo(flow, leaving)).as("possibly another run").isZero();
        passTime(WithdrawalSettings.DEFAULT.memory().plusSeconds(1));
        update(flow, recreated);
        assertThat(sendsTo(flow, leaving)).as("certainly another run").isPositive();
    }

    @Example
    void nextServerAtSameAddressStartsWithoutWithdrawal() {
        RequestFlow flow = flow(true, 2);
        BackendServerId leaving = answerWith(flow, 200, "Seal", "s", "Leaving", "1");
        Map<BackendServerId, RegisteredServer> servers = servers();
        RegisteredServer removed = servers.remove(leaving);
        BackendServerId next = new BackendServerId("next");
        servers.put(
                next,
                new RegisteredServer(
                        next, removed.service(), removed.address(), removed.zone(), 2, false, 0));
        update(flow, servers);
        assertThat(sendsTo(flow, next)).isPositive();
    }

    @Example
    void ignoresStatementsOfMisdirectedAnswers() {
        RequestFlow flow = flow(true, 2);
        answerWith(flow, 421, "Leaving", "1", "Limit", "0", "Not-Run", "1");
        assertThat(flow.statements().withdrawals()).isEmpty();
        assertThat(flow.statements().limits().views()).isEmpty();
    }

    @Example
    void doesNotWriteWaitingRequestAfterWithdrawal() {
        RequestFlow flow = flow(true, 2);
        handleRequest(flow, "k");
        FakeConnections.Call waiting = mConnections.last();
        assertThat(waiting.mListener.canBegin()).isTrue();
        BackendServerId leaving = answerWith(flow, 200, "Seal", "s", "Leaving", "1");
        assertThat(leaving).isEqualTo(waiting.mServer.id());
        assertThat(waiting.mListener.canBegin()).isFalse();
        waiting.fail(Verdict.DID_NOT_RUN, CallFailure.Kind.WITHDRAWN);
        assertThat(mConnections.last().mServer.id()).isNotEqualTo(leaving);
    }

    /**
     * Guards against a request that is refused although servers are left, because withdrawals
     * before it was written count as failed connections.
     */
    @Example
    void triesAllRemainingServersWhenWaitingRequestIsWithdrawn() {
        RequestFlow flow = flow(true, 2);
        FleetSnapshot six = FakeSnapshot.of(true, 2, false, Set.of(), 6);
        flow.update(EntryState.of(six, flow.state()));
        FakeResponder responder = handleRequest(flow, "k");
        for (int server = 0; server < 5; server++) {
            mConnections.last().fail(Verdict.DID_NOT_RUN, CallFailure.Kind.WITHDRAWN);
        }
        assertThat(mConnections.mCalls).hasSize(6);
        mConnections.last().answer(200, "Seal", "s");
        assertThat(responder.status()).isEqualTo(200);
    }

    @Example
    void rejectsRequestsAtOnceWhenAllServersLeave() {
        RequestFlow flow = flow(true, 4);
        for (int number = 0; number < KEYS; number++) {
            int before = mConnections.mCalls.size();
            handleRequest(flow, "key-" + number);
            if (mConnections.mCalls.size() > before) {
                mConnections.last().answer(200, "Seal", "s", "Leaving", "1");
            }
        }
        assertThat(flow.statements().withdrawals()).hasSize(3);
        int before = mConnections.mCalls.size();
        FakeResponder rejected = handleRequest(flow, "k");
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(rejected.mAnswers.get(0).headers().contains("Retry-After")).isTrue();
        assertThat(mConnections.mCalls).hasSize(before);
    }

    @Example
    void ignoresAndCountsMalformedStatement() {
        RequestFlow flow = flow(true, 2);
        BackendServerId server = answerWith(flow, 200, "Seal", "s", "Leaving", "soon");
        assertThat(flow.statements().malformed()).isEqualTo(1);
        assertThat(flow.statements().withdrawals()).isEmpty();
        assertThat(sendsTo(flow, server)).isPositive();
    }

    /** Guards against an invalid load header that goes unnoticed, and against a flood of lines. */
    @Example
    void countsMalformedLoadHeadersAndLogsThemOncePerServer() {
        RequestFlow flow = flow(false, 1);
        for (int answer = 0; answer < 3; answer++) {
            handleRequest(flow, "k");
            mConnections.last().answer(200, "Seal", "s", "Load", "1,0,4,fast");
        }
        handleRequest(flow, "k");
        mConnections.last().answer(200, "Seal", "s", "Load", "1,0,4,100");
        assertThat(flow.statements().malformedLoads()).isEqualTo(3);
        assertThat(mDecisions.recentViewChanges(100))
                .filteredOn(line -> line.path("event").asText().equals("server-load"))
                .extracting(line -> line.path("part").asText())
                .containsExactly("load");
    }

    @Example
    void logsEachMalformedPartOnce() {
        RequestFlow flow = flow(false, 1);
        for (int answer = 0; answer < 5; answer++) {
            handleRequest(flow, "k");
            mConnections.last().answer(503, "Leaving", "soon", "Retry-After", "soon");
        }
        assertThat(flow.statements().malformed()).isEqualTo(10);
        assertThat(mDecisions.recentViewChanges(100))
                .extracting(line -> line.path("part").asText())
                .containsExactlyInAnyOrder("leaving", "pause");
    }

    @Example
    void sendsNothingToPausedServerThenReturnsKeysGradually() {
        for (boolean idempotent : List.of(true, false)) {
            RequestFlow flow = flow(idempotent, 2);
            BackendServerId paused = answerWith(flow, 503, "Not-Run", "1", "Retry-After", "3");
            assertThat(sendsTo(flow, paused)).isZero();
            passTime(Duration.ofMillis(2_900));
            assertThat(sendsTo(flow, paused)).as("just before its end").isZero();
            long first = sendsTo(flow, paused);
            passTime(Duration.ofSeconds(2));
            flow.statements().refresh();
            long later = sendsTo(flow, paused);
            assertThat(first).as("keys return one by one").isLessThan(later);
            assertThat(flow.statements().withdrawals()).isEmpty();
        }
    }

    @Example
    void appliesLatestEndOfAllPauses() {
        RequestFlow flow = flow(true, 2);
        handleRequest(flow, "k");
        handleRequest(flow, "k");
        handleRequest(flow, "k");
        List<FakeConnections.Call> calls = List.copyOf(mConnections.mCalls);
        calls.get(0).answer(503, "Not-Run", "1", "Retry-After", "5");
        calls.get(1).answer(503, "Not-Run", "1", "Retry-After", "1");
        calls.get(2).answer(200, "Seal", "s");
        passTime(Duration.ofSeconds(4));
        assertThat(sendsTo(flow, calls.get(0).mServer.id())).isZero();
    }

    @Example
    void pauseCountsNeitherAsFailureNorAsRefusal() {
        RequestFlow flow = flow(true, 2);
        BackendServerId paused =
                answerWith(flow, 503, "Not-Run", "1", "Retry-After", "2", "Load", "0,0,2");
        assertThat(failureShare(flow, paused)).isZero();
    }

    @Example
    void rejectsRequestsUntilFirstPauseEndsWhenAllServersPause() {
        RequestFlow flow = flow(true, 4);
        int[] seconds = {9, 4, 6};
        for (int number = 0; number < KEYS; number++) {
            handleRequest(flow, "key-" + number);
            FakeConnections.Call call = mConnections.last();
            while (!call.mCancelled && flow.statements().withdrawals().size() < 3) {
                int server = Integer.parseInt(call.mServer.id().value().substring(7));
                call.answer(503, "Not-Run", "1", "Retry-After", "" + seconds[server]);
                if (mConnections.last() == call) {
                    break;
                }
                call = mConnections.last();
            }
        }
        assertThat(flow.statements().withdrawals()).hasSize(3);
        int before = mConnections.mCalls.size();
        FakeResponder rejected = handleRequest(flow, "k");
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(mConnections.mCalls).hasSize(before);
        String retryAfter = rejected.mAnswers.get(0).headers().get("Retry-After");
        assertThat(Double.parseDouble(retryAfter)).isBetween(3.5, 4.0);
        passTime(Duration.ofSeconds(5));
        handleRequest(flow, "k");
        assertThat(mConnections.mCalls)
                .as("the first server takes requests again")
                .hasSize(before + 1);
        assertThat(mConnections.last().mServer.id().value()).isEqualTo("server-1");
    }

    @Example
    void boundsPausesAndIgnoresInvalidValues() {
        RequestFlow flow = flow(true, 2);
        BackendServerId server = answerWith(flow, 503, "Not-Run", "1", "Retry-After", "1000000000");
        assertThat(flow.statements().malformed()).isEqualTo(1);
        passTime(WithdrawalSettings.DEFAULT.longestPause().plusSeconds(3));
        flow.statements().refresh();
        assertThat(sendsTo(flow, server)).isPositive();
        for (String value : List.of("soon", "-1", "1e9", "Thu, 03 Dec 2026 10:00:00 GMT", "0")) {
            RequestFlow other = flow(true, 2);
            BackendServerId named = answerWith(other, 503, "Not-Run", "1", "Retry-After", value);
            passTime(Duration.ofSeconds(1));
            assertThat(sendsTo(other, named)).as(value).isPositive();
        }
    }

    @Example
    void ignoresRetryAfterOfOtherStatuses() {
        for (int status : List.of(200, 404, 429, 500)) {
            RequestFlow flow = flow(false, 1);
            answerWith(flow, status, "Seal", "s", "Retry-After", "3");
            assertThat(flow.statements().withdrawals()).as("status %d", status).isEmpty();
        }
    }

    @Example
    void treatsTooShortPauseAsRefusal() {
        for (String seconds : List.of("0", "0.01")) {
            RequestFlow flow = flow(true, 2);
            BackendServerId server =
                    answerWith(flow, 503, "Not-Run", "1", "Retry-After", seconds, "Load", "0,0,2");
            assertThat(failureShare(flow, server)).as(seconds).isPositive();
        }
    }

    @Example
    void keepsPauseWhenEntryIsRecreated() {
        RequestFlow flow = flow(true, 2);
        BackendServerId paused = answerWith(flow, 503, "Not-Run", "1", "Retry-After", "30");
        Map<BackendServerId, RegisteredServer> without = servers();
        RegisteredServer entry = without.remove(paused);
        update(flow, without);
        Map<BackendServerId, RegisteredServer> recreated = servers();
        recreated.put(paused, entry.withRun(1));
        update(flow, recreated);
        assertThat(sendsTo(flow, paused)).isZero();
    }
}
