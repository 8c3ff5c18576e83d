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

/** Guards against ways to a backend server that go round its word that it takes no requests. */
class ServerWithdrawalFlowTest extends AbstractRequestFlowTest {

    private static final int KEYS = 60;

    /** Has the server of one key say something with its answer; gives that server. */
    private BackendServerId hear(RequestFlow flow, int status, String... headers) {
        askFor(flow, "k");
        FakeConnections.Call call = mConnections.last();
        call.answer(status, headers);
        mConnections.mCalls.stream()
                .skip(mConnections.mCalls.indexOf(call) + 1L)
                .toList()
                .forEach(again -> again.answer(200, "Seal", "s"));
        return call.mServer.id();
    }

    /** Counts what a server gets of many requests with many keys, all of which are answered. */
    private long sendsTo(RequestFlow flow, BackendServerId server) {
        int before = mConnections.mCalls.size();
        for (int number = 0; number < KEYS; number++) {
            askFor(flow, number % 3 == 0 ? null : "key-" + number);
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

    private static FleetSnapshot with(Map<BackendServerId, RegisteredServer> servers) {
        FleetSnapshot all = FakeSnapshot.of(true, 2, false, Set.of());
        return new FleetSnapshot(2, all.routing(), servers, Set.of());
    }

    private static Map<BackendServerId, RegisteredServer> servers() {
        return new HashMap<>(FakeSnapshot.of(true, 2, false, Set.of()).servers());
    }

    private static void update(RequestFlow flow, Map<BackendServerId, RegisteredServer> servers) {
        flow.update(EntryState.of(with(servers), flow.state()));
    }

    @Example
    void anyAnswerThatSaysThatItsServerLeavesIsTheLastRequestThere() {
        for (boolean idempotent : List.of(true, false)) {
            for (int status : List.of(200, 404, 500, 503)) {
                RequestFlow flow = flow(idempotent, 2);
                BackendServerId leaving =
                        hear(flow, status, "Seal", "s", "Leaving", "1", "Not-Run", "1");
                assertThat(sendsTo(flow, leaving)).as("status %d", status).isZero();
            }
        }
    }

    @Example
    void wordOfAnAnswerThatBreaksOffOrComesLateCounts() {
        RequestFlow flow = flow(true, 2);
        askFor(flow, "k");
        FakeConnections.Call call = mConnections.last();
        HttpHeaders headers = new DefaultHttpHeaders().set("Leaving", "1");
        call.mListener.answerBegan(200, headers);
        call.fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.last().mServer.id()).isNotEqualTo(call.mServer.id());
        mConnections.last().answer(200, "Seal", "s");
        assertThat(sendsTo(flow, call.mServer.id())).isZero();
        RequestFlow other = flow(true, 2);
        askFor(other, "k");
        FakeConnections.Call late = mConnections.last();
        passTime(Duration.ofSeconds(2));
        late.mListener.answerBegan(200, headers);
        assertThat(sendsTo(other, late.mServer.id())).as("after the client's time").isZero();
    }

    @Example
    void secondSendsAvoidServersThatLeave() {
        RequestFlow flow = flow(true, 3);
        BackendServerId leaving = hear(flow, 200, "Seal", "s", "Leaving", "1");
        for (int number = 0; number < KEYS; number++) {
            int before = mConnections.mCalls.size();
            askFor(flow, "key-" + number);
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
    void earlierAnswersAndTheRegistryTakeNothingBack() {
        RequestFlow flow = flow(true, 2);
        askFor(flow, "k");
        askFor(flow, "k");
        FakeConnections.Call first = mConnections.mCalls.get(0);
        FakeConnections.Call second = mConnections.mCalls.get(1);
        assertThat(first.mServer.id()).isEqualTo(second.mServer.id());
        second.answer(200, "Seal", "s", "Leaving", "1");
        first.answer(200, "Seal", "s");
        assertThat(sendsTo(flow, first.mServer.id())).isZero();
        update(flow, servers());
        assertThat(sendsTo(flow, first.mServer.id())).as("its entry says ready").isZero();
    }

    @Example
    void entryThatIsLostAndMadeAnewTakesNothingBack() {
        RequestFlow flow = flow(true, 2);
        BackendServerId leaving = hear(flow, 200, "Seal", "s", "Leaving", "1");
        Map<BackendServerId, RegisteredServer> without = servers();
        RegisteredServer entry = without.remove(leaving);
        update(flow, without);
        passTime(Duration.ofSeconds(5));
        update(flow, servers());
        assertThat(sendsTo(flow, leaving)).as("of the same run").isZero();
        Map<BackendServerId, RegisteredServer> anew = servers();
        anew.put(leaving, entry.withRun(1));
        update(flow, anew);
        assertThat(sendsTo(flow, leaving)).as("what may be another run").isZero();
        passTime(WithdrawalSettings.DEFAULT.memory().plusSeconds(1));
        update(flow, anew);
        assertThat(sendsTo(flow, leaving)).as("what is another run").isPositive();
    }

    @Example
    void serverThatTakesTheAddressLaterStartsWithoutAnyWord() {
        RequestFlow flow = flow(true, 2);
        BackendServerId leaving = hear(flow, 200, "Seal", "s", "Leaving", "1");
        Map<BackendServerId, RegisteredServer> servers = servers();
        RegisteredServer gone = servers.remove(leaving);
        BackendServerId next = new BackendServerId("next");
        servers.put(
                next,
                new RegisteredServer(
                        next, gone.service(), gone.address(), gone.zone(), 2, false, 0));
        update(flow, servers);
        assertThat(sendsTo(flow, next)).isPositive();
    }

    @Example
    void answersOfAnotherServerAtTheAddressSayNothing() {
        RequestFlow flow = flow(true, 2);
        hear(flow, 421, "Leaving", "1", "Limit", "0", "Not-Run", "1");
        assertThat(flow.statements().withdrawals()).isEmpty();
        assertThat(flow.statements().limits().views()).isEmpty();
    }

    @Example
    void requestThatWaitsForItsConnectionIsNotWrittenAfterThat() {
        RequestFlow flow = flow(true, 2);
        askFor(flow, "k");
        FakeConnections.Call waiting = mConnections.last();
        assertThat(waiting.mListener.mayBegin()).isTrue();
        BackendServerId leaving = hear(flow, 200, "Seal", "s", "Leaving", "1");
        assertThat(leaving).isEqualTo(waiting.mServer.id());
        assertThat(waiting.mListener.mayBegin()).isFalse();
        waiting.fail(Verdict.DID_NOT_RUN, CallFailure.Kind.WITHDRAWN);
        assertThat(mConnections.last().mServer.id()).isNotEqualTo(leaving);
    }

    @Example
    void requestsAreRejectedAtOnceWhereAllServersLeave() {
        RequestFlow flow = flow(true, 4);
        for (int number = 0; number < KEYS; number++) {
            int before = mConnections.mCalls.size();
            askFor(flow, "key-" + number);
            if (mConnections.mCalls.size() > before) {
                mConnections.last().answer(200, "Seal", "s", "Leaving", "1");
            }
        }
        assertThat(flow.statements().withdrawals()).hasSize(3);
        int before = mConnections.mCalls.size();
        FakeResponder rejected = askFor(flow, "k");
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(rejected.mAnswers.get(0).headers().contains("Retry-After")).isTrue();
        assertThat(mConnections.mCalls).hasSize(before);
    }

    @Example
    void malformedWordIsCountedAndMeansNothing() {
        RequestFlow flow = flow(true, 2);
        BackendServerId server = hear(flow, 200, "Seal", "s", "Leaving", "soon");
        assertThat(flow.statements().malformed()).isEqualTo(1);
        assertThat(flow.statements().withdrawals()).isEmpty();
        assertThat(sendsTo(flow, server)).isPositive();
    }

    @Example
    void eachMalformedPartIsToldOnce() {
        RequestFlow flow = flow(false, 1);
        for (int answer = 0; answer < 5; answer++) {
            askFor(flow, "k");
            mConnections.last().answer(503, "Leaving", "soon", "Retry-After", "soon");
        }
        assertThat(flow.statements().malformed()).isEqualTo(10);
        assertThat(mDecisions.recentViewChanges(100))
                .extracting(line -> line.path("part").asText())
                .containsExactlyInAnyOrder("leaving", "pause");
    }

    @Example
    void serverThatAsksForTimeGetsNothingUntilThenAndItsKeysReturnOneByOne() {
        for (boolean idempotent : List.of(true, false)) {
            RequestFlow flow = flow(idempotent, 2);
            BackendServerId paused = hear(flow, 503, "Not-Run", "1", "Retry-After", "3");
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
    void latestEndOfAllPausesCounts() {
        RequestFlow flow = flow(true, 2);
        askFor(flow, "k");
        askFor(flow, "k");
        askFor(flow, "k");
        List<FakeConnections.Call> calls = List.copyOf(mConnections.mCalls);
        calls.get(0).answer(503, "Not-Run", "1", "Retry-After", "5");
        calls.get(1).answer(503, "Not-Run", "1", "Retry-After", "1");
        calls.get(2).answer(200, "Seal", "s");
        passTime(Duration.ofSeconds(4));
        assertThat(sendsTo(flow, calls.get(0).mServer.id())).isZero();
    }

    @Example
    void pauseIsNeitherFailureNorRefusalInTheJudgementOfTheServer() {
        RequestFlow flow = flow(true, 2);
        BackendServerId paused =
                hear(flow, 503, "Not-Run", "1", "Retry-After", "2", "Load", "0,0,2");
        assertThat(failureShare(flow, paused)).isZero();
    }

    @Example
    void requestsAreRejectedWithTheFirstEndWhereAllServersPause() {
        RequestFlow flow = flow(true, 4);
        int[] seconds = {9, 4, 6};
        for (int number = 0; number < KEYS; number++) {
            askFor(flow, "key-" + number);
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
        FakeResponder rejected = askFor(flow, "k");
        assertThat(rejected.status()).isEqualTo(503);
        assertThat(mConnections.mCalls).hasSize(before);
        String retryAfter = rejected.mAnswers.get(0).headers().get("Retry-After");
        assertThat(Double.parseDouble(retryAfter)).isBetween(3.5, 4.0);
        passTime(Duration.ofSeconds(5));
        askFor(flow, "k");
        assertThat(mConnections.mCalls).as("the first is back").hasSize(before + 1);
        assertThat(mConnections.last().mServer.id().value()).isEqualTo("server-1");
    }

    @Example
    void pausesAreBoundedAndWhatIsNoneMeansNothing() {
        RequestFlow flow = flow(true, 2);
        BackendServerId server = hear(flow, 503, "Not-Run", "1", "Retry-After", "1000000000");
        assertThat(flow.statements().malformed()).isEqualTo(1);
        passTime(WithdrawalSettings.DEFAULT.longestPause().plusSeconds(3));
        flow.statements().refresh();
        assertThat(sendsTo(flow, server)).isPositive();
        for (String value : List.of("soon", "-1", "1e9", "Thu, 03 Dec 2026 10:00:00 GMT", "0")) {
            RequestFlow other = flow(true, 2);
            BackendServerId named = hear(other, 503, "Not-Run", "1", "Retry-After", value);
            passTime(Duration.ofSeconds(1));
            assertThat(sendsTo(other, named)).as(value).isPositive();
        }
    }

    @Example
    void statusThatTurnsNobodyAwayAsksForNoPause() {
        for (int status : List.of(200, 404, 429, 500)) {
            RequestFlow flow = flow(false, 1);
            hear(flow, status, "Seal", "s", "Retry-After", "3");
            assertThat(flow.statements().withdrawals()).as("status %d", status).isEmpty();
        }
    }

    @Example
    void pauseThatIsTooShortIsTakenForRefusal() {
        for (String seconds : List.of("0", "0.01")) {
            RequestFlow flow = flow(true, 2);
            BackendServerId server =
                    hear(flow, 503, "Not-Run", "1", "Retry-After", seconds, "Load", "0,0,2");
            assertThat(failureShare(flow, server)).as(seconds).isPositive();
        }
    }

    @Example
    void pauseOutlivesAnEntryThatIsLostAndMadeAnew() {
        RequestFlow flow = flow(true, 2);
        BackendServerId paused = hear(flow, 503, "Not-Run", "1", "Retry-After", "30");
        Map<BackendServerId, RegisteredServer> without = servers();
        RegisteredServer entry = without.remove(paused);
        update(flow, without);
        Map<BackendServerId, RegisteredServer> anew = servers();
        anew.put(paused, entry.withRun(1));
        update(flow, anew);
        assertThat(sendsTo(flow, paused)).isZero();
    }
}
