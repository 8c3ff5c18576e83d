package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.crash.CrashMessage;
import io.masticpond.core.crash.CrashView;
import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.request.Verdict;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.backend.ServerReachability;
import io.masticpond.entry.http.IncomingRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

/** What becomes of a request under which servers end, and of those that were there by chance. */
class CrashingRequestFlowTest extends AbstractRequestFlowTest {

    private static final String TARGET = "/a/x?y=1";
    private static final Duration BACK_AFTER = Duration.ofMillis(1_100);
    private static final Duration CHECKED = Duration.ofMillis(20);

    private FakeResponder mLast;

    /** The request comes once more, as a new attempt of its client. */
    private void ask(RequestFlow flow) {
        ask(flow, request());
    }

    private void ask(RequestFlow flow, IncomingRequest request) {
        mLast = new FakeResponder();
        flow.handle(request, mLast);
    }

    private String text() {
        return mLast.mAnswers.get(0).body().toString(StandardCharsets.UTF_8);
    }

    /** The newest call is broken off; whether its server has ended is found out. */
    private void breakOff(ServerReachability reach) {
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        passTime(CHECKED);
        mConnections.mChecks.forEach(check -> check.listener().accept(reach));
        mConnections.mChecks.clear();
        passTime(Duration.ofMillis(50));
    }

    /** The request comes, and each server that it is sent to ends. */
    private void crash(RequestFlow flow, int times) {
        for (int time = 0; time < times; time++) {
            int before = mConnections.mCalls.size();
            ask(flow);
            for (int sent = before; sent < mConnections.mCalls.size(); sent++) {
                passTime(Duration.ofMillis(10));
                breakOff(ServerReachability.REFUSED);
            }
            passTime(BACK_AFTER);
        }
    }

    @Example
    void isRejectedAtOnceWithTheTruthAndItsPause() {
        RequestFlow flow = flow(true, 2);
        crash(flow, 4);
        int sends = mConnections.mCalls.size();
        ask(flow);
        assertThat(mConnections.mCalls).hasSize(sends);
        assertThat(mLast.status()).isEqualTo(503);
        assertThat(text()).contains("did not run: ends-servers");
        String pause = mLast.mAnswers.get(0).headers().get("Retry-After");
        assertThat(Double.parseDouble(pause)).isBetween(7_000.0, 7_200.0);
        JsonNode line = mDecisions.ofRequest("one").get(mDecisions.ofRequest("one").size() - 1);
        assertThat(line.path("cause").asText()).isEqualTo("ends-servers");
        assertThat(line.path("fingerprint").asText())
                .isEqualTo(flow.crashes().views().get(0).request().toString());
    }

    @Example
    void onceOnlyRequestIsSentOnceForEachAttemptAndNeverPromisedNotToHaveRun() {
        RequestFlow flow = flow(false, 2);
        ask(flow);
        breakOff(ServerReachability.REFUSED);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(mLast.status()).isEqualTo(502);
        crash(flow, 4);
        ask(flow);
        assertThat(mLast.status()).isEqualTo(503);
    }

    @Example
    void otherRequestsAreServedMeanwhile() {
        RequestFlow flow = flow(true, 2);
        crash(flow, 4);
        passTime(Duration.ofSeconds(2));
        ask(flow, request("/a/other"));
        mConnections.last().answer(200, "Seal", "s");
        assertThat(mLast.status()).isEqualTo(200);
    }

    @Example
    void connectionsThatWereOnlyCutAreNoEnds() {
        for (ServerReachability reach :
                List.of(ServerReachability.OPEN, ServerReachability.UNKNOWN)) {
            RequestFlow flow = flow(true, 2);
            for (int time = 0; time < 6; time++) {
                ask(flow);
                breakOff(reach);
                breakOff(reach);
            }
            assertThat(flow.crashes().views()).isEmpty();
            assertThat(flow.crashes().ends()).isZero();
        }
    }

    @Example
    void oneConnectionIsTriedForAllThatBrokeOffAtOneServer() {
        RequestFlow flow = flow(false, 1);
        for (int number = 0; number < 5; number++) {
            ask(flow, request("/a/" + number));
        }
        mConnections.mCalls.forEach(
                call -> call.fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF));
        passTime(CHECKED);
        long servers =
                mConnections.mCalls.stream().map(call -> call.mServer.id()).distinct().count();
        assertThat(mConnections.mChecks).hasSize((int) servers);
        mConnections.mChecks.forEach(check -> check.listener().accept(ServerReachability.REFUSED));
        assertThat(flow.crashes().ends()).isEqualTo(5);
    }

    @Example
    void checkWithoutResultIsMadeOnceMore() {
        RequestFlow flow = flow(false, 1);
        ask(flow);
        breakOff(ServerReachability.UNKNOWN);
        passTime(Duration.ofMillis(100));
        assertThat(mConnections.mChecks).hasSize(1);
        mConnections.mChecks.remove(0).listener().accept(ServerReachability.REFUSED);
        assertThat(flow.crashes().ends()).isEqualTo(1);
        ask(flow);
        breakOff(ServerReachability.UNKNOWN);
        breakOffChecks(ServerReachability.UNKNOWN);
        assertThat(mConnections.mChecks).isEmpty();
        assertThat(flow.crashes().ends()).isEqualTo(1);
    }

    private void breakOffChecks(ServerReachability reach) {
        passTime(Duration.ofMillis(100));
        mConnections.mChecks.remove(0).listener().accept(reach);
        passTime(Duration.ofSeconds(1));
    }

    @Example
    void answerClearsWhatWasThereByChance() {
        RequestFlow flow = flow(true, 2);
        crash(flow, 1);
        assertThat(flow.crashes().views().get(0).ends()).isEqualTo(2);
        passTime(Duration.ofSeconds(1));
        ask(flow);
        mConnections.last().answer(200, "Seal", "s");
        assertThat(flow.crashes().views().get(0).ends()).isZero();
        crash(flow, 1);
        passTime(Duration.ofSeconds(2));
        ask(flow);
        assertThat(mConnections.last().mCancelled).isFalse();
        assertThat(flow.crashes().views().get(0).state()).isEqualTo(CrashView.State.SUSPECTED);
    }

    @Example
    void whatOthersRejectIsRejectedHereAndItsOpenCopiesAreEnded() {
        RequestFlow flow = flow(true, 2);
        ask(flow);
        RequestFingerprint request = flow.crashes().fingerprint(request());
        CrashMessage told = new CrashMessage.Verdict(request, 3, 1, 0);
        flow.crashes().receive("second", List.of(told));
        assertThat(mConnections.last().mCancelled).as("one may be broken").isFalse();
        flow.crashes().receive("third", List.of(told));
        assertThat(mConnections.last().mCancelled).isTrue();
        assertThat(mLast.status()).as("it may have run").isEqualTo(502);
        ask(flow);
        assertThat(mLast.status()).isEqualTo(503);
        assertThat(flow.open()).isZero();
    }

    @Example
    void suspectedRequestIsNotSentAgainByItself() {
        RequestFlow flow = flow(true, 2);
        crash(flow, 1);
        int sends = mConnections.mCalls.size();
        ask(flow);
        breakOff(ServerReachability.REFUSED);
        assertThat(mConnections.mCalls).hasSize(sends + 1);
        assertThat(mLast.status()).isEqualTo(502);
    }

    @Example
    void whatWasSeenBeforeTheMachineWasSuspendedStillCounts() {
        RequestFlow flow = flow(true, 2);
        crash(flow, 4);
        mTime.stepWallClock(Duration.ofMinutes(5));
        ask(flow);
        assertThat(mLast.status()).isEqualTo(503);
    }

    @Example
    void fingerprintNamesWhatIsAskedForAndByWhomNotTheAttempt() {
        RequestFlow flow = flow(true, 2);
        RequestFingerprint first = of(flow, "GET", TARGET, "h", "id-1", "caller", "body");
        assertThat(of(flow, "GET", TARGET, "h", "id-2", "caller", "body")).isEqualTo(first);
        assertThat(of(flow, "PUT", TARGET, "h", "id-1", "caller", "body")).isNotEqualTo(first);
        assertThat(of(flow, "GET", "/a/z", "h", "id-1", "caller", "body")).isNotEqualTo(first);
        assertThat(of(flow, "GET", TARGET, "g", "id-1", "caller", "body")).isNotEqualTo(first);
        assertThat(of(flow, "GET", TARGET, "h", "id-1", "other", "body")).isNotEqualTo(first);
        assertThat(of(flow, "GET", TARGET, "h", "id-1", "caller", "")).isNotEqualTo(first);
        assertThat(RequestFingerprint.parse(first.toString())).contains(first);
    }

    private static RequestFingerprint of(
            RequestFlow flow,
            String method,
            String target,
            String host,
            String id,
            String caller,
            String body) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", host).set("Id", id).set("Authorization", caller);
        return flow.crashes()
                .fingerprint(
                        new IncomingRequest(
                                HttpMethod.valueOf(method),
                                target,
                                headers,
                                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8),
                                0,
                                0));
    }
}
