package io.masticpond.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.statement.LeavingHeader;
import io.masticpond.core.statement.PauseHeader;
import io.masticpond.core.statement.ServerStatement;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;

/** Tests for the contents of a request's line, and that no value can corrupt it. */
final class RequestLineTest {

    private static final BackendServerId FIRST = new BackendServerId("b1");
    private static final BackendServerId SECOND = new BackendServerId("b2");
    private static final ZoneId ZONE = new ZoneId("z1");

    private final LogLines mOutput = new LogLines();
    private final LineBatch mBatch = new LineBatch(mOutput, new LineCounts());

    @Property(seed = "71", tries = 500)
    void writesAnyIdAsOneAsciiLineThatParsesBack(@ForAll @StringLength(max = 128) String id) {
        LogLines output = new LogLines();
        LineBatch batch = new LineBatch(output, new LineCounts());
        RequestRecord request = new RequestRecord(id, 0);
        request.refused(id, 503, 100, 0);
        batch.add(0, new RequestLine(request));
        batch.add(0, new RequestLine(request));
        batch.write();
        assertThat(output.text()).matches("[\\x20-\\x7f]+\n[\\x20-\\x7f]+\n");
        assertThat(output.lines().get(1).path("id").asText()).isEqualTo(id);
        assertThat(output.lines().get(1).path("cause").asText()).isEqualTo(id);
    }

    @Example
    void escapesIdsThatInjectLinesOrControlCharacters() {
        String id = "a\"},\n{\"event\":\"forged\"}\r\u0085\u009b31m\u2028\ud800\u0000";
        write(answered(id));
        assertThat(mOutput.lines()).hasSize(1);
        assertThat(mOutput.lines().get(0).path("id").asText()).isEqualTo(id);
        assertThat(mOutput.lines().get(0).path("event").asText()).isEqualTo("request");
    }

    @Example
    void truncatesLongId() {
        write(answered("x".repeat(100_000)));
        assertThat(mOutput.text().length()).isLessThan(400);
    }

    /** Guards against a line as long as a name of the platform, or cut in a pair of surrogates. */
    @Example
    void truncatesLongNamesOfThePlatform() {
        RequestRecord request = new RequestRecord("r1", 0);
        request.routed(
                new RouteId("x" + "\ud83d\ude9a".repeat(5_000)),
                new ServiceId("y".repeat(10_000)),
                400,
                millis(1_000));
        request.answered(200, millis(130));
        write(request);
        assertThat(mOutput.text().length()).isLessThan(1_500);
        assertThat(mOutput.lines().get(0).path("service").asText()).endsWith("y...");
    }

    @Example
    void writesInputsOfDecision() {
        RequestRecord request = retried();
        request.answered(200, millis(130));
        write(request);
        JsonNode line = mOutput.lines().get(0);
        assertThat(mOutput.text())
                .isEqualTo(
                        "{\"at\":\"2026-12-02T06:00:01.250Z\",\"event\":\"request\",\"id\":\"r1\","
                            + "\"route\":\"shop\",\"service\":\"cart\",\"outcome\":\"answered\","
                            + "\"status\":200,\"millis\":130,\"targetMillis\":400,"
                            + "\"leftMillis\":870,"
                            + "\"attempts\":[{\"server\":\"b1\",\"zone\":\"z1\",\"cold\":true,"
                            + "\"sentMillis\":1,\"result\":\"turned-away\",\"status\":503,"
                            + "\"millis\":9},{\"server\":\"b2\",\"zone\":\"z1\","
                            + "\"sentMillis\":10,\"result\":\"answered\",\"status\":200,"
                            + "\"millis\":120}],\"weighed\":1,\"candidates\":[{\"server\":\"b2\","
                            + "\"inFlight\":0,\"slots\":4,\"score\":0.5}],"
                            + "\"excluded\":{\"leaving\":2,\"tried\":1},\"retryBudget\":1.5,"
                            + "\"routingVersion\":7,\"routingAgeMillis\":40,"
                            + "\"registryRevision\":812,\"shareholders\":6,"
                            + "\"peersAgeMillis\":90}\n");
        assertThat(line.has("registryAgeMillis")).isFalse();
    }

    @Example
    void writesLimitsStatedByServers() {
        RequestRecord request = new RequestRecord("r1", 0);
        request.sent(FIRST, ZONE, false, 0);
        request.stated(FIRST, limited(LimitHeader.parse(List.of("0.25"))), 0);
        request.sent(SECOND, ZONE, false, 0);
        request.stated(SECOND, limited(LimitHeader.parse(List.of("soon"))), 0);
        request.sent(SECOND, ZONE, false, 0);
        request.stated(SECOND, ServerStatement.NONE, 0);
        request.answered(200, 0);
        write(request);
        JsonNode attempts = mOutput.lines().get(0).path("attempts");
        assertThat(attempts.get(0).path("limit").asDouble()).isEqualTo(0.25);
        assertThat(attempts.get(1).path("limit").asText()).isEqualTo("malformed");
        assertThat(attempts.get(2).has("limit")).isFalse();
    }

    private static ServerStatement limited(LimitHeader limit) {
        return new ServerStatement(
                limit, Optional.empty(), LeavingHeader.ABSENT, PauseHeader.ABSENT);
    }

    @Example
    void writesLeavingAndPausesStatedByServers() {
        RequestRecord request = new RequestRecord("r1", 0);
        request.sent(FIRST, ZONE, false, 0);
        request.stated(FIRST, withdrawing("1", "2.5"), 0);
        request.sent(SECOND, ZONE, false, 0);
        request.stated(SECOND, withdrawing("soon", "soon"), 0);
        request.answered(200, 0);
        write(request);
        JsonNode attempts = mOutput.lines().get(0).path("attempts");
        assertThat(attempts.get(0).path("leaving").asBoolean()).isTrue();
        assertThat(attempts.get(0).path("pauseMillis").asInt()).isEqualTo(2_500);
        assertThat(attempts.get(1).path("leaving").asText()).isEqualTo("malformed");
        assertThat(attempts.get(1).path("pauseMillis").asText()).isEqualTo("malformed");
    }

    private static ServerStatement withdrawing(String leaving, String pause) {
        return new ServerStatement(
                LimitHeader.ABSENT,
                Optional.empty(),
                LeavingHeader.parse(List.of(leaving)),
                PauseHeader.parse(List.of(pause)));
    }

    @Example
    void retryLineKeepsStateAtTimeOfLogging() {
        RequestRecord request = new RequestRecord("r1", 0);
        request.sent(FIRST, ZONE, false, 0);
        request.attemptEnded(AttemptResult.NOT_CONNECTED, 0, millis(300));
        RetryLine line = new RetryLine(request);
        request.sent(SECOND, ZONE, false, millis(301));
        request.answered(200, millis(400));
        mBatch.add(0, line);
        mBatch.write();
        JsonNode written = mOutput.lines().get(0);
        assertThat(written.path("attempt").asInt()).isEqualTo(1);
        assertThat(written.path("server").asText()).isEqualTo("b1");
        assertThat(written.path("result").asText()).isEqualTo("not-connected");
        assertThat(written.path("millis").asInt()).isEqualTo(300);
    }

    @Example
    void treatsOnlyAnswerAtFirstAttemptAsPlain() {
        RequestRecord failed = new RequestRecord("r1", 0);
        failed.answered(502, 0);
        RequestRecord retried = retried();
        retried.answered(200, 0);
        RequestRecord disconnected = new RequestRecord("r1", 0);
        disconnected.clientDisconnected(0);
        assertThat(answered("r1").isPlain()).isTrue();
        assertThat(failed.isPlain()).isFalse();
        assertThat(retried.isPlain()).isFalse();
        assertThat(disconnected.isPlain()).isFalse();
    }

    @Example
    void stepOfRegionWeightIsOneLine() {
        mBatch.add(
                0,
                new LoadChange.RegionWeight(
                        new ServiceId("cart"), new RegionId("north"), 3, 0.91234));
        mBatch.write();
        assertThat(mOutput.text())
                .contains("\"event\":\"region-weight\"")
                .contains("\"service\":\"cart\",\"region\":\"north\",\"steps\":3")
                .containsPattern("\"utilization\":0\\.91");
    }

    @Example
    void omitsOnlyLineThatCannotBeEncoded() {
        write(answered("r1"));
        mBatch.add(0, new ViewChange.Routing(1, 2, 3, null));
        write(answered("r2"));
        assertThat(mOutput.lines().stream().map(line -> line.path("id").asText()))
                .containsExactly("r1", "r2");
    }

    /** Guards against a choice that cannot be explained, as its figure or its age is missing. */
    @Example
    void choiceByLatencyStatesExpectedLatencyAndAgeOfSpeed() {
        RequestRecord request = new RequestRecord("r1", 0);
        request.beginSelection();
        request.candidate(FIRST, new CandidateFigures(3, 4, 0.9, millis(320), millis(45)));
        request.candidate(SECOND, new CandidateFigures(3, 4, 0.8, millis(330), -1));
        request.candidate(SECOND, new CandidateFigures(3, 4, 0.7));
        request.answered(200, 0);
        write(request);
        JsonNode candidates = mOutput.lines().get(0).path("candidates");
        assertThat(candidates.get(0).path("expectedLatencyMillis").asInt()).isEqualTo(320);
        assertThat(candidates.get(0).path("speedAgeMillis").asInt()).isEqualTo(45);
        assertThat(candidates.get(1).path("expectedLatencyMillis").asInt()).isEqualTo(330);
        assertThat(candidates.get(1).has("speedAgeMillis")).isFalse();
        assertThat(candidates.get(2).has("expectedLatencyMillis")).isFalse();
    }

    private RequestRecord retried() {
        RequestRecord request = new RequestRecord("r1", 0);
        request.routed(new RouteId("shop"), new ServiceId("cart"), 400, millis(1_000));
        request.routing(7, millis(40));
        request.registry(812, RequestRecord.UNKNOWN);
        request.peers(6, millis(90));
        request.beginSelection();
        request.candidate(FIRST, new CandidateFigures(3, 4, 0.9));
        request.sent(FIRST, ZONE, true, millis(1));
        request.attemptEnded(AttemptResult.TURNED_AWAY, 503, millis(10));
        request.retryBudget(1.5);
        request.beginSelection();
        request.excluded(Exclusion.LEAVING);
        request.excluded(Exclusion.LEAVING);
        request.excluded(Exclusion.TRIED);
        request.candidate(SECOND, new CandidateFigures(0, 4, 0.5));
        request.sent(SECOND, ZONE, false, millis(10));
        request.attemptEnded(AttemptResult.ANSWERED, 200, millis(130));
        return request;
    }

    private static RequestRecord answered(String id) {
        RequestRecord request = new RequestRecord(id, 0);
        request.answered(200, 0);
        return request;
    }

    private void write(RequestRecord request) {
        mBatch.add(1_796_191_201_250L, new RequestLine(request));
        mBatch.write();
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
