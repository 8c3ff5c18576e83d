package io.masticpond.measure.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import net.jqwik.api.Example;
import okhttp3.Headers;

/** Tests for which echoes {@link LoadStatistics} accepts as answers to the caller's own request. */
class LoadStatisticsTest {

    private static final String TARGET = "/reservations/1-288";
    private static final String DIGEST = "0f9c";

    private final LoadStatistics mStatistics = new LoadStatistics();

    @Example
    void acceptsEchoOfOwnRequest() {
        recordReply(echo("own", "null", TARGET, DIGEST), 1);
        assertThat(mStatistics.mismatched()).isZero();
    }

    @Example
    void reportsMismatchForOtherIdWhenRequestWasSentOnce() {
        recordReply(echo("earlier", "\"home@1:10\"", TARGET, DIGEST), 1);
        assertThat(mStatistics.mismatched()).isEqualTo(1);
        assertThat(mStatistics.mismatches().get(0)).contains(TARGET, "own", "earlier");
    }

    @Example
    void acceptsEchoOfEarlierAttemptForRetryUnderOperationKey() {
        recordReply(echo("earlier", "\"home@1:10\"", TARGET, DIGEST), 2);
        assertThat(mStatistics.mismatched()).isZero();
    }

    @Example
    void reportsMismatchForEarlierIdWithoutOperationKey() {
        recordReply(echo("earlier", "null", TARGET, DIGEST), 2);
        assertThat(mStatistics.mismatched()).isEqualTo(1);
    }

    @Example
    void reportsMismatchForOtherTargetOrBodyOfRetry() {
        recordReply(echo("earlier", "\"home@1:10\"", "/reservations/1-289", DIGEST), 2);
        recordReply(echo("earlier", "\"home@1:10\"", TARGET, "1a2b"), 2);
        assertThat(mStatistics.mismatched()).isEqualTo(2);
    }

    /** Guards against a caller's thread that ends at a problem document without a cause. */
    @Example
    void countsRefusalWithoutCause() {
        Map<String, String> outcomes =
                Map.of(
                        "{\"verdict\":\"did not run\"}", "did not run: no cause",
                        "{\"cause\":\"overload\"}", "no verdict: overload",
                        "[]", "no verdict: no cause",
                        "", "no verdict: no cause");
        outcomes.forEach(
                (body, outcome) -> assertThat(recordRefusal(body)).as(body).isEqualTo(outcome));
        assertThat(mStatistics.requests()).isEqualTo(4);
        assertThat(mStatistics.refusals()).containsEntry("no verdict: no cause", 2L);
    }

    private String recordRefusal(String body) {
        HttpCalls.HttpReply reply =
                new HttpCalls.HttpReply(
                        503,
                        Headers.of("Content-Type", "application/problem+json"),
                        body.getBytes(StandardCharsets.UTF_8));
        return mStatistics.recordReply(
                reply, 1_000, new LoadStatistics.SentRequest(TARGET, DIGEST, 1));
    }

    private void recordReply(String body, int attempts) {
        HttpCalls.HttpReply reply =
                new HttpCalls.HttpReply(
                        200,
                        Headers.of("Masticpond-Request-Id", "own"),
                        body.getBytes(StandardCharsets.UTF_8));
        mStatistics.recordReply(
                reply, 1_000, new LoadStatistics.SentRequest(TARGET, DIGEST, attempts));
    }

    private static String echo(String id, String operationId, String target, String digest) {
        return String.format(
                "{\"requestId\":\"%s\",\"operationId\":%s,\"target\":\"POST %s\","
                        + "\"digest\":\"%s\"}",
                id, operationId, target, digest);
    }
}
