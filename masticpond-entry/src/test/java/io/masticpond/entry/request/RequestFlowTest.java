package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.placement.LoadGate;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.request.Verdict;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.http.IncomingRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Tests of the answers to a client when backend servers fail, refuse requests or are unresponsive.
 */
class RequestFlowTest extends AbstractRequestFlowTest {

    @Example
    void forwardsServerAnswerUnchanged() {
        handle(flow(true, 2));
        mConnections.last().answer(201, "Seal", "s", "Other", "x");
        assertThat(mResponder.status()).isEqualTo(201);
        assertThat(mResponder.mAnswers.get(0).headers().get("Other")).isEqualTo("x");
        assertThat(mConnections.last().mRequest.headers().get("For")).startsWith("server-");
    }

    @Example
    void doesNotRetryOnceOnlyRequestThatMayHaveRun() {
        handle(flow(false, 2));
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(mResponder.status()).isEqualTo(502);
    }

    @Example
    void retriesOnceOnlyRequestThatDidNotRunAtAnotherServer() {
        handle(flow(false, 2));
        FakeConnections.Call first = mConnections.last();
        first.answer(503, "Not-Run", "1");
        assertThat(mConnections.mCalls).hasSize(2);
        assertThat(mConnections.last().mServer.id()).isNotEqualTo(first.mServer.id());
        mConnections.last().answer(200, "Seal", "s");
        assertThat(mResponder.status()).isEqualTo(200);
    }

    @Example
    void refusesRequestRejectedByAllServersWithRetryAfter() {
        handle(flow(false, 2));
        mConnections.last().answer(503, "Not-Run", "1");
        mConnections.last().answer(503, "Not-Run", "1");
        assertThat(mResponder.status()).isEqualTo(503);
        assertThat(mResponder.mAnswers.get(0).headers().get("Retry-After")).isNotNull();
    }

    @Example
    void logsRankedCandidatesAndWaitOfOverloadRefusal() {
        mLoadGate =
                (request, chosen, now) ->
                        Optional.of(
                                new AdmissionDecision(false, 5_000_000, 70_000_000, 20_000_000));
        RequestFlow flow = flow(true, 2);
        for (ServerLoad load : flow.servers().of(SERVICE)) {
            load.requestStarted();
        }
        handle(flow);
        JsonNode line = mDecisions.requestLines("one").get(0);
        assertThat(line.path("cause").asText()).isEqualTo("overload");
        assertThat(line.path("waitMillis").asInt()).isEqualTo(70);
        assertThat(line.path("longestWaitMillis").asInt()).isEqualTo(20);
        JsonNode candidates = line.path("candidates");
        assertThat(candidates).hasSize(3);
        assertThat(candidates.findValues("score"))
                .extracting(JsonNode::asDouble)
                .isSortedAccordingTo(Comparator.reverseOrder());
        mLoadGate = LoadGate.OPEN;
        handle(flow(true, 2));
        assertThat(candidates.get(0).path("server").asText())
                .as("the same key is sent there when there is capacity")
                .isEqualTo(mConnections.last().mServer.id().value());
    }

    @Example
    void usesSecondServerOfKeyButNoThirdWhenFirstIsFull() {
        handle(flow(true, 2));
        BackendServerId first = mConnections.last().mServer.id();
        Set<BackendServerId> full = new HashSet<>(Set.of(first));
        mLoadGate = (request, chosen, now) -> refusalOf(chosen, full);
        handle(flow(true, 2));
        BackendServerId other = mConnections.last().mServer.id();
        assertThat(other).isNotEqualTo(first);
        assertThat(mConnections.mCalls).hasSize(2);
        full.add(other);
        handle(flow(true, 2));
        assertThat(mConnections.mCalls).hasSize(2);
        assertThat(mResponder.status()).isEqualTo(503);
    }

    private static Optional<AdmissionDecision> refusalOf(
            ServerLoad chosen, Set<BackendServerId> full) {
        return full.contains(chosen.server().id())
                ? Optional.of(new AdmissionDecision(false, 5_000_000, 70_000_000, 20_000_000))
                : Optional.empty();
    }

    @Example
    void excludesColdServerWithoutPermitFromLoggedCandidates() {
        mLoadGate =
                (request, chosen, now) ->
                        Optional.of(
                                new AdmissionDecision(false, 5_000_000, 70_000_000, 20_000_000));
        handle(flow(true, 2));
        JsonNode all = mDecisions.requestLines("one").get(0).path("candidates");
        String cold = all.get(0).path("server").asText();
        mColdServers = Set.of(new BackendServerId(cold));
        handle(flow(true, 2));
        JsonNode line = mDecisions.requestLines("one").get(1);
        assertThat(line.path("candidates").findValuesAsText("server")).hasSize(2);
        assertThat(line.path("candidates").findValuesAsText("server")).doesNotContain(cold);
        assertThat(line.path("excluded").path("cold").asInt()).isEqualTo(1);
    }

    @Example
    void usesSecondServerOfKeyWhenAnswersDidNotWait() {
        assertThat(leavesBusyServerAfterAnswers("1,5,2")).as("they waited").isFalse();
        assertThat(leavesBusyServerAfterAnswers("1,0,2")).as("they did not wait").isTrue();
    }

    private boolean leavesBusyServerAfterAnswers(String load) {
        RequestFlow flow = flow(true, 2);
        for (int each = 0; each < 64; each++) {
            handle(flow);
            passTime(Duration.ofMillis(10));
            mConnections.last().answer(200, "Seal", "s", "Load", load);
        }
        passTime(Duration.ofMinutes(1));
        BackendServerId home = mConnections.last().mServer.id();
        flow.servers().of(SERVICE).stream()
                .filter(each -> each.server().id().equals(home))
                .forEach(each -> List.of(1, 2, 3).forEach(ignored -> each.requestStarted()));
        handle(flow);
        return !mConnections.last().mServer.id().equals(home);
    }

    @Example
    void doesNotExceedMaximumAttemptsOfRoute() {
        handle(flow(true, 1));
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(mResponder.status()).isEqualTo(502);
    }

    @Example
    void doesNotRetryWithoutBudget() {
        mHasBudget = false;
        handle(flow(true, 2));
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.mCalls).hasSize(1);
    }

    @Example
    void doesNotForwardSuccessfulAnswerWithoutSeal() {
        handle(flow(false, 2));
        mConnections.last().answer(200);
        assertThat(mResponder.status()).isEqualTo(502);
    }

    @Example
    void cancelsCallToUnresponsiveServerAtRouteTimeout() {
        handle(flow(false, 2));
        passTime(Duration.ofMillis(1_001));
        assertThat(mConnections.last().mCancelled).isTrue();
        assertThat(mResponder.status()).isEqualTo(504);
    }

    @Example
    void cancelsCallOfDisconnectedClient() {
        handle(flow(true, 2));
        mResponder.disconnect();
        assertThat(mConnections.last().mCancelled).isTrue();
        assertThat(mResponder.mAnswers).isEmpty();
    }

    @Example
    void forwardsRemainingDeadlineOnRetry() {
        RequestFlow flow = flow(true, 2);
        handle(flow);
        mTime.advance(Duration.ofMillis(300));
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.last().mRequest.headers().get("Wait")).isEqualTo("500");
    }

    @Example
    void sendsNothingToLeavingOrEvacuatedServers() {
        RequestFlow flow = flow(true, 2);
        flow.update(EntryState.of(FakeSnapshot.of(true, 2, true, Set.of()), flow.state()));
        handle(flow);
        assertThat(mResponder.status()).isEqualTo(503);
        FakeResponder second = new FakeResponder();
        flow.update(EntryState.of(FakeSnapshot.of(true, 2, false, Set.of(ZONE)), flow.state()));
        flow.handle(request(), second);
        assertThat(second.status()).isEqualTo(503);
        assertThat(mConnections.mCalls).isEmpty();
    }

    @Example
    void answersNotFoundForUnknownRouteAndUnavailableWithoutRoutes() {
        RequestFlow flow = flow(true, 2);
        FakeResponder other = new FakeResponder();
        flow.handle(request("/other/x"), other);
        assertThat(other.status()).isEqualTo(404);
        flow.update(EntryState.EMPTY);
        handle(flow);
        passTime(HeldRequests.MAXIMUM_WAIT.minusMillis(1));
        assertThat(mResponder.mAnswers).as("a snapshot may still come").isEmpty();
        passTime(Duration.ofMillis(1));
        assertThat(mResponder.status()).isEqualTo(503);
        assertThat(mResponder.mAnswers.get(0).headers().get("Retry-After")).isNotNull();
        assertThat(flow.openRequests()).isZero();
    }

    /**
     * Guards against a client that gets no answer within its deadline, because its request waits
     * for the first snapshot for longer.
     */
    @Example
    void answersRequestThatWaitsForSnapshotByItsDeadline() {
        RequestFlow flow = flow(true, 2);
        flow.update(EntryState.EMPTY);
        IncomingRequest urgent = request();
        urgent.headers().set("Wait", "150");
        mTime.advance(Duration.ofMillis(50));
        flow.handle(urgent, mResponder);
        passTime(Duration.ofMillis(99));
        assertThat(mResponder.mAnswers).as("a snapshot may still come").isEmpty();
        passTime(Duration.ofMillis(1));
        assertThat(mResponder.mAnswers).as("150 ms after the arrival").hasSize(1);
        assertThat(mResponder.status()).isEqualTo(503);
        FakeResponder late = new FakeResponder();
        urgent.headers().set("Wait", "0");
        flow.handle(urgent, late);
        assertThat(late.mAnswers).as("its deadline has passed").hasSize(1);
        assertThat(flow.openRequests()).isZero();
    }

    @Example
    void keepsKeysInPlaceWhenAllServersRejectDespiteCapacity() {
        RequestFlow flow = flow(true, 1);
        handle(flow);
        BackendServerId home = mConnections.last().mServer.id();
        mConnections.last().answer(200, "Seal", "s", "Load", "0,0,4");
        for (int each = 0; each < 60; each++) {
            passTime(Duration.ofMillis(20));
            IncomingRequest request = request();
            request.headers().set("Key", "key-" + each);
            flow.handle(request, new FakeResponder());
            mConnections.last().answer(503, "Not-Run", "1", "Load", "1,0,4");
        }
        passTime(Duration.ofMillis(100));
        flow.handle(request(), new FakeResponder());
        assertThat(mConnections.last().mServer.id()).isEqualTo(home);
        mConnections.last().answer(503, "Not-Run", "1", "Load", "4,2,4");
        flow.handle(request(), new FakeResponder());
        assertThat(mConnections.last().mServer.id())
                .as("full, so avoided for a moment")
                .isNotEqualTo(home);
    }

    @Example
    void sendsNothingAfterAllRequestsWereEnded() {
        RequestFlow flow = flow(true, 2);
        handle(flow);
        flow.endAll();
        FakeResponder late = new FakeResponder();
        flow.handle(request(), late);
        assertThat(mConnections.mCalls).as("sent before the end").hasSize(1);
        assertThat(late.status()).isEqualTo(503);
    }

    @Example
    void refusesAttemptBeyondSpendingCapBeforeSending() {
        mSpending = Optional.of(new FakeSpendingCheck(0));
        handle(flow(true, 2));
        assertThat(mConnections.mCalls).isEmpty();
        assertThat(mResponder.status()).isEqualTo(503);
        assertThat(mResponder.mAnswers.get(0).headers().get("Retry-After")).isEqualTo("60.000");
        assertThat(mResponder.mAnswers.get(0).body().toString(StandardCharsets.UTF_8))
                .contains("did not run: spending-cap");
        JsonNode line = mDecisions.requestLines("one").get(0);
        assertThat(line.path("cause").asText()).isEqualTo("spending-cap");
        assertThat(line.path("spending").path("capMicros").asInt()).isEqualTo(7);
        assertThat(line.path("spending").path("state").asText()).isEqualTo("exhausted");
    }

    @Example
    void chargesEachRetryAndReportsThatRequestMayHaveRun() {
        FakeSpendingCheck spending = new FakeSpendingCheck(1);
        mSpending = Optional.of(spending);
        handle(flow(true, 2));
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(mResponder.status()).isEqualTo(502);
        assertThat(mResponder.mAnswers.get(0).body().toString(StandardCharsets.UTF_8))
                .contains("may have run: spending-cap");
        assertThat(spending.mRemaining).as("what may have run is not refunded").isZero();
    }

    @Example
    void refundsAttemptThatDidNotRunForTheNextServer() {
        FakeSpendingCheck spending = new FakeSpendingCheck(1);
        mSpending = Optional.of(spending);
        handle(flow(false, 2));
        mConnections.last().fail(Verdict.DID_NOT_RUN, CallFailure.Kind.NOT_CONNECTED);
        mConnections.last().answer(503, "Not-Run", "1");
        assertThat(mConnections.mCalls).hasSize(3);
        mConnections.last().answer(200, "Seal", "s");
        assertThat(mResponder.status()).isEqualTo(200);
        assertThat(spending.mRemaining).isZero();
    }
}
