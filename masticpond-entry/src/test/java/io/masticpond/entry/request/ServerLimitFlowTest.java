package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.limit.AdmissionLimitSettings;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.placement.PriorityLoadGate;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.serverlimit.LimitReport;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.support.HashMixer;
import io.masticpond.entry.backend.CallFailure;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;

/** Tests that no kind of request bypasses the limit that a backend server states. */
class ServerLimitFlowTest extends AbstractRequestFlowTest {

    private static final Set<String> ALL = Set.of("server-0", "server-1", "server-2");
    private static final Duration STEP = Duration.ofMillis(20);

    /** Tolerance over one limit in a window of 4 s, as users state it. */
    private static final double TOLERANCE = 1.5;

    private static final int WINDOW_SECONDS = 4;
    private static final int BURST = 5;

    private final List<FakeResponder> mAnswers = new ArrayList<>();

    private FakeResponder sendRequest(RequestFlow flow, String key) {
        FakeResponder responder = handleRequest(flow, key);
        mAnswers.add(responder);
        return responder;
    }

    /** Answers the open calls; limited servers state their limit. */
    private void answerAll(int from, Set<String> limited, String limit) {
        for (FakeConnections.Call call :
                List.copyOf(mConnections.mCalls.subList(from, mConnections.mCalls.size()))) {
            if (limited.contains(call.mServer.id().value())) {
                call.answer(200, "Seal", "s", "Limit", limit);
            } else {
                call.answer(200, "Seal", "s");
            }
        }
    }

    /**
     * Sends requests with many keys for a time; returns the number of calls that each server
     * received.
     */
    private long[] applyLoad(RequestFlow flow, Duration time, Set<String> limited, String limit) {
        int before = mConnections.mCalls.size();
        for (long at = 0; at < time.toMillis(); at += STEP.toMillis()) {
            int from = mConnections.mCalls.size();
            sendRequest(flow, "key-" + mRequestCount % 40);
            passTime(STEP);
            answerAll(from, limited, limit);
        }
        return IntStream.range(0, ALL.size())
                .mapToLong(
                        number ->
                                mConnections.mCalls.stream()
                                        .skip(before)
                                        .filter(call -> isSentTo(call, number))
                                        .count())
                .toArray();
    }

    private static boolean isSentTo(FakeConnections.Call call, int number) {
        return call.mServer.id().equals(new BackendServerId("server-" + number));
    }

    private static double bound(double limit) {
        return TOLERANCE * WINDOW_SECONDS * limit + BURST;
    }

    private RequestFlow settledFlow(boolean idempotent) {
        RequestFlow flow = flow(idempotent, 2);
        flow.statements().limits().refreshInstances();
        passTime(Duration.ofSeconds(2));
        return flow;
    }

    @Example
    void keepsAndUsesLimitWhileOtherServersTakeTheRest() {
        for (boolean idempotent : List.of(true, false)) {
            RequestFlow flow = settledFlow(idempotent);
            applyLoad(flow, Duration.ofSeconds(1), Set.of("server-0"), "2.5");
            long[] calls = applyLoad(flow, Duration.ofSeconds(4), Set.of("server-0"), "2.5");
            assertThat((double) calls[0]).isBetween(5.0, bound(2.5));
            assertThat(calls[1] + calls[2]).isGreaterThan(150);
        }
        assertThat(mAnswers).allMatch(answer -> answer.status() == 200);
    }

    /**
     * Guards against a permit of a cold server that is lost, because the limit that the server has
     * stated allows no request.
     */
    @Example
    void takesPermitOfColdServerOnlyForRequestThatItsLimitAllows() {
        RequestFlow flow = settledFlow(true);
        applyLoad(flow, Duration.ofSeconds(1), Set.of("server-0"), "2.5");
        mColdServers = Set.of(new BackendServerId("server-0"));
        mColdPermits = 1_000;
        int firstLine = mRequestCount;
        long[] calls = applyLoad(flow, Duration.ofSeconds(4), Set.of("server-0"), "2.5");
        assertThat(calls[0]).isGreaterThanOrEqualTo(5);
        assertThat(1_000 - mColdPermits).isEqualTo((int) calls[0]);
        long excludedAsCold =
                IntStream.range(firstLine, mRequestCount)
                        .mapToObj(number -> mDecisions.requestLines("r" + number))
                        .flatMap(List::stream)
                        .filter(line -> line.path("excluded").has("cold"))
                        .count();
        assertThat(excludedAsCold).as("excluded for its limit, not as cold").isZero();
    }

    @Example
    void countsRetriesAndRequestsWithoutKey() {
        RequestFlow flow = settledFlow(true);
        applyLoad(flow, Duration.ofSeconds(1), Set.of("server-0"), "2.5");
        int before = mConnections.mCalls.size();
        for (int request = 0; request < 100; request++) {
            int from = mConnections.mCalls.size();
            sendRequest(flow, null);
            passTime(STEP);
            FakeConnections.Call first = mConnections.mCalls.get(from);
            if (!isSentTo(first, 0)) {
                first.fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
                from++;
            }
            answerAll(from, Set.of("server-0"), "2.5");
            passTime(STEP);
        }
        long limited =
                mConnections.mCalls.stream().skip(before).filter(call -> isSentTo(call, 0)).count();
        assertThat((double) limited).isLessThanOrEqualTo(bound(2.5));
    }

    @Example
    void readsLimitFromRefusalsErrorsAndBrokenOffAnswers() {
        for (int status : List.of(500, 503, 429, 200)) {
            RequestFlow flow = settledFlow(false);
            sendRequest(flow, "k");
            HttpHeaders headers = new DefaultHttpHeaders().set("Limit", "0.5");
            if (status == 200) {
                mConnections.last().mListener.answerBegan(200, headers);
                mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
            } else {
                mConnections.last().answer(status, "Limit", "0.5", "Not-Run", "1");
            }
            assertThat(flow.statements().limits().views())
                    .as("status %d", status)
                    .anyMatch(view -> view.isLimited() && view.perSecond() == 0.5);
            passTime(Duration.ofSeconds(3));
        }
    }

    @Example
    void outOfOrderAnswersNeitherLiftNorRaiseLimit() {
        RequestFlow flow = settledFlow(true);
        sendRequest(flow, "k");
        sendRequest(flow, "k");
        sendRequest(flow, "k");
        List<FakeConnections.Call> calls = List.copyOf(mConnections.mCalls);
        calls.get(0).answer(200, "Seal", "s", "Limit", "2");
        calls.get(1).answer(200, "Seal", "s");
        calls.get(2).answer(200, "Seal", "s", "Limit", "9");
        assertThat(singleView(flow).perSecond()).as("their order is unknown").isEqualTo(2);
        passTime(Duration.ofSeconds(1));
        sendRequest(flow, "k");
        mConnections.last().answer(200, "Seal", "s", "Limit", "9");
        assertThat(singleView(flow).perSecond()).as("sent after the limit was known").isEqualTo(9);
        passTime(Duration.ofSeconds(1));
        sendRequest(flow, "k");
        mConnections.last().answer(200, "Seal", "s");
        assertThat(singleView(flow).isLimited()).isFalse();
    }

    private static LimitView singleView(RequestFlow flow) {
        assertThat(flow.statements().limits().views()).hasSize(1);
        return flow.statements().limits().views().get(0);
    }

    @Example
    void ignoresAndCountsMalformedLimit() {
        RequestFlow flow = settledFlow(true);
        sendRequest(flow, "k");
        mConnections.last().answer(200, "Seal", "s", "Limit", "NaN");
        assertThat(flow.statements().limits().views()).isEmpty();
        sendRequest(flow, "k");
        mConnections.last().answer(200, "Seal", "s", "Limit", "2");
        passTime(Duration.ofSeconds(1));
        sendRequest(flow, "k");
        mConnections.last().answer(200, "Seal", "s", "Limit", "soon");
        assertThat(singleView(flow).perSecond()).isEqualTo(2);
        assertThat(flow.statements().limits().malformed()).isEqualTo(2);
    }

    @Example
    void instanceThatIsNoSenderAvoidsServerUntilLiftIsReported() {
        for (int number = 0; number < 60; number++) {
            ArrayList<OwnerCandidate> more = new ArrayList<>(mInstances);
            more.add(new OwnerCandidate(new InstanceId("other-" + number), ZONE));
            mInstances = more;
        }
        RequestFlow flow = settledFlow(true);
        long hash = HashMixer.hash("server-0");
        flow.statements()
                .limits()
                .applyReports(flow.servers(), List.of(new LimitReport(hash, 0.5, 0, 0)));
        boolean isSender = singleView(flow).ownPerSecond() > 0;
        long[] calls = applyLoad(flow, Duration.ofSeconds(4), Set.of("server-0"), "0.5");
        assertThat(calls[0]).isLessThanOrEqualTo(isSender ? 2 : 0);
        LimitReport lifted = new LimitReport(hash, Double.POSITIVE_INFINITY, 0, 0);
        assertThat(flow.statements().limits().applyReports(flow.servers(), List.of(lifted)))
                .hasSize(1);
        assertThat(flow.statements().limits().applyReports(flow.servers(), List.of(lifted)))
                .as("no update the second time")
                .isEmpty();
        long[] first = applyLoad(flow, Duration.ofMillis(400), Set.of(), "");
        applyLoad(flow, Duration.ofSeconds(2), Set.of(), "");
        long[] later = applyLoad(flow, Duration.ofMillis(400), Set.of(), "");
        assertThat(first[0]).as("keys return one by one").isLessThan(later[0]);
    }

    @Example
    void rejectsRequestsWithRetryAfterWhenAllServersAreLimited() {
        mLoadGate =
                new PriorityLoadGate(
                        AdmissionLimitSettings.DEFAULT,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(4L));
        RequestFlow flow = settledFlow(true);
        applyLoad(flow, Duration.ofSeconds(3), ALL, "2.5");
        mAnswers.clear();
        long[] calls = applyLoad(flow, Duration.ofSeconds(4), ALL, "2.5");
        for (long each : calls) {
            assertThat((double) each).isBetween(8.0, bound(2.5));
        }
        List<FakeResponder> rejected =
                mAnswers.stream().filter(answer -> answer.status() != 200).toList();
        assertThat(rejected).isNotEmpty().allMatch(answer -> answer.status() == 503);
        JsonNode line =
                mDecisions.requestLines("r" + (mRequestCount - 1)).isEmpty()
                        ? null
                        : mDecisions.requestLines("r" + (mRequestCount - 1)).get(0);
        assertThat(line).isNotNull();
        String retryAfter = rejected.get(0).mAnswers.get(0).headers().get("Retry-After");
        assertThat(Double.parseDouble(retryAfter)).isBetween(0.01, 0.8 / 3);
        long[] after = applyLoad(flow, Duration.ofSeconds(4), Set.of(), "");
        assertThat(after[0] + after[1] + after[2])
                .as("limits are lifted by answers")
                .isGreaterThan(100);
    }

    @Example
    void keepsLimitOfLostEntryUntilFirstAnswerOfNextRun() {
        RequestFlow flow = settledFlow(true);
        applyLoad(flow, Duration.ofSeconds(1), Set.of("server-0"), "2.5");
        FleetSnapshot all = FakeSnapshot.of(true, 2, false, Set.of());
        for (int run = 0; run < 2; run++) {
            flow.update(EntryState.of(FakeSnapshot.withoutServers(), flow.state()));
            passTime(Duration.ofSeconds(1));
            Map<BackendServerId, RegisteredServer> servers = new HashMap<>(all.servers());
            int number = run;
            servers.replaceAll((id, server) -> server.withRun(number));
            FleetSnapshot returned = new FleetSnapshot(3, all.routing(), servers, Set.of());
            flow.update(EntryState.of(returned, flow.state()));
            assertThat(singleView(flow).isLimited())
                    .as("before any answer of run %d", run)
                    .isTrue();
            long[] calls = applyLoad(flow, Duration.ofSeconds(4), Set.of("server-0"), "2.5");
            assertThat((double) calls[0]).as("run %d", run).isLessThanOrEqualTo(bound(2.5));
        }
        applyLoad(flow, Duration.ofSeconds(2), Set.of(), "");
        assertThat(singleView(flow).isLimited()).isFalse();
    }
}
