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

/**
 * Tests that a request that crashes servers is rejected, and that requests which were at the same
 * servers by coincidence are not.
 */
class CrashingRequestFlowTest extends AbstractRequestFlowTest {

    private static final String TARGET = "/a/x?y=1";
    private static final Duration RETURN_DELAY = Duration.ofMillis(1_100);
    private static final Duration CHECK_DELAY = Duration.ofMillis(20);

    private FakeResponder mLastResponder;

    /** Sends the request once more, as a new attempt of the client. */
    private void sendRequest(RequestFlow flow) {
        sendRequest(flow, request());
    }

    private void sendRequest(RequestFlow flow, IncomingRequest request) {
        mLastResponder = new FakeResponder();
        flow.handle(request, mLastResponder);
    }

    private String lastAnswerText() {
        return mLastResponder.mAnswers.get(0).body().toString(StandardCharsets.UTF_8);
    }

    /** Breaks off the latest call, and completes the checks of whether its server has ended. */
    private void breakOff(ServerReachability reachability) {
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        passTime(CHECK_DELAY);
        mConnections.mChecks.forEach(check -> check.listener().accept(reachability));
        mConnections.mChecks.clear();
        passTime(Duration.ofMillis(50));
    }

    /** Sends the request repeatedly; each server that it is sent to ends. */
    private void crashServers(RequestFlow flow, int times) {
        for (int time = 0; time < times; time++) {
            int before = mConnections.mCalls.size();
            sendRequest(flow);
            for (int sent = before; sent < mConnections.mCalls.size(); sent++) {
                passTime(Duration.ofMillis(10));
                breakOff(ServerReachability.REFUSED);
            }
            passTime(RETURN_DELAY);
        }
    }

    @Example
    void rejectsCrashingRequestAtOnceWithCauseAndRetryDelay() {
        RequestFlow flow = flow(true, 2);
        crashServers(flow, 4);
        int sends = mConnections.mCalls.size();
        sendRequest(flow);
        assertThat(mConnections.mCalls).hasSize(sends);
        assertThat(mLastResponder.status()).isEqualTo(503);
        assertThat(lastAnswerText()).contains("did not run: ends-servers");
        String retryAfter = mLastResponder.mAnswers.get(0).headers().get("Retry-After");
        assertThat(Double.parseDouble(retryAfter)).isBetween(7_000.0, 7_200.0);
        JsonNode line =
                mDecisions.requestLines("one").get(mDecisions.requestLines("one").size() - 1);
        assertThat(line.path("cause").asText()).isEqualTo("ends-servers");
        assertThat(line.path("fingerprint").asText())
                .isEqualTo(flow.crashGuard().views().get(0).request().toString());
    }

    @Example
    void doesNotRetryOnceOnlyRequestThatCrashesServers() {
        RequestFlow flow = flow(false, 2);
        sendRequest(flow);
        breakOff(ServerReachability.REFUSED);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(mLastResponder.status()).isEqualTo(502);
        crashServers(flow, 4);
        sendRequest(flow);
        assertThat(mLastResponder.status()).isEqualTo(503);
    }

    @Example
    void otherRequestsAreServedMeanwhile() {
        RequestFlow flow = flow(true, 2);
        crashServers(flow, 4);
        passTime(Duration.ofSeconds(2));
        sendRequest(flow, request("/a/other"));
        mConnections.last().answer(200, "Seal", "s");
        assertThat(mLastResponder.status()).isEqualTo(200);
    }

    @Example
    void doesNotCountCutConnectionsAsServerEnds() {
        for (ServerReachability reachability :
                List.of(ServerReachability.OPEN, ServerReachability.UNKNOWN)) {
            RequestFlow flow = flow(true, 2);
            for (int time = 0; time < 6; time++) {
                sendRequest(flow);
                breakOff(reachability);
                breakOff(reachability);
            }
            assertThat(flow.crashGuard().views()).isEmpty();
            assertThat(flow.crashGuard().serverEnds()).isZero();
        }
    }

    @Example
    void checksServerOnceForAllItsBrokenOffRequests() {
        RequestFlow flow = flow(false, 1);
        for (int number = 0; number < 5; number++) {
            sendRequest(flow, request("/a/" + number));
        }
        mConnections.mCalls.forEach(
                call -> call.fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF));
        passTime(CHECK_DELAY);
        long servers =
                mConnections.mCalls.stream().map(call -> call.mServer.id()).distinct().count();
        assertThat(mConnections.mChecks).hasSize((int) servers);
        mConnections.mChecks.forEach(check -> check.listener().accept(ServerReachability.REFUSED));
        assertThat(flow.crashGuard().serverEnds()).isEqualTo(5);
    }

    @Example
    void repeatsCheckWithoutResultOnce() {
        RequestFlow flow = flow(false, 1);
        sendRequest(flow);
        breakOff(ServerReachability.UNKNOWN);
        passTime(Duration.ofMillis(100));
        assertThat(mConnections.mChecks).hasSize(1);
        mConnections.mChecks.remove(0).listener().accept(ServerReachability.REFUSED);
        assertThat(flow.crashGuard().serverEnds()).isEqualTo(1);
        sendRequest(flow);
        breakOff(ServerReachability.UNKNOWN);
        completeRepeatedCheck(ServerReachability.UNKNOWN);
        assertThat(mConnections.mChecks).isEmpty();
        assertThat(flow.crashGuard().serverEnds()).isEqualTo(1);
    }

    private void completeRepeatedCheck(ServerReachability reachability) {
        passTime(Duration.ofMillis(100));
        mConnections.mChecks.remove(0).listener().accept(reachability);
        passTime(Duration.ofSeconds(1));
    }

    @Example
    void answerClearsServerEndsRecordedByCoincidence() {
        RequestFlow flow = flow(true, 2);
        crashServers(flow, 1);
        assertThat(flow.crashGuard().views().get(0).ends()).isEqualTo(2);
        passTime(Duration.ofSeconds(1));
        sendRequest(flow);
        mConnections.last().answer(200, "Seal", "s");
        assertThat(flow.crashGuard().views().get(0).ends()).isZero();
        crashServers(flow, 1);
        passTime(Duration.ofSeconds(2));
        sendRequest(flow);
        assertThat(mConnections.last().mCancelled).isFalse();
        assertThat(flow.crashGuard().views().get(0).state()).isEqualTo(CrashView.State.SUSPECTED);
    }

    @Example
    void rejectsRequestReportedByPeersAndEndsItsOpenCopies() {
        RequestFlow flow = flow(true, 2);
        sendRequest(flow);
        RequestFingerprint request = flow.crashGuard().fingerprint(request());
        CrashMessage reported = new CrashMessage.Verdict(request, 3, 1, 0);
        flow.crashGuard().receive("second", List.of(reported));
        assertThat(mConnections.last().mCancelled).as("a single reporter may be faulty").isFalse();
        flow.crashGuard().receive("third", List.of(reported));
        assertThat(mConnections.last().mCancelled).isTrue();
        assertThat(mLastResponder.status()).as("it may have run").isEqualTo(502);
        sendRequest(flow);
        assertThat(mLastResponder.status()).isEqualTo(503);
        assertThat(flow.openRequests()).isZero();
    }

    @Example
    void doesNotRetrySuspectedRequest() {
        RequestFlow flow = flow(true, 2);
        crashServers(flow, 1);
        int sends = mConnections.mCalls.size();
        sendRequest(flow);
        breakOff(ServerReachability.REFUSED);
        assertThat(mConnections.mCalls).hasSize(sends + 1);
        assertThat(mLastResponder.status()).isEqualTo(502);
    }

    @Example
    void keepsRejectionAcrossSuspensionOfMachine() {
        RequestFlow flow = flow(true, 2);
        crashServers(flow, 4);
        mTime.stepWallClock(Duration.ofMinutes(5));
        sendRequest(flow);
        assertThat(mLastResponder.status()).isEqualTo(503);
    }

    @Example
    void fingerprintCoversRequestAndCallerButNotAttempt() {
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
        return flow.crashGuard()
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
