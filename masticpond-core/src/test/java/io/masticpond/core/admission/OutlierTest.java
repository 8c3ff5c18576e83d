package io.masticpond.core.admission;

import static io.masticpond.core.admission.AdmissionHarness.require;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.RefusalCause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import net.jqwik.api.Example;

class OutlierTest {

    private static final BackendServerId BAD = AdmissionHarness.id(0);

    @Example
    void serverThatFailsFastIsEjected() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 2);
        Map<BackendServerId, Integer> counts = runRounds(harness, 60, this::badFailsFast);
        int atBad = counts.getOrDefault(BAD, 0);
        require(atBad <= 10, "The server must get at most 10 of 480 requests, but got %d.", atBad);
    }

    @Example
    void healthyReportsDoNotOutweighErrors() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 2);
        runRounds(harness, 20, this::badFailsFast);
        int before = countAtBad(harness);
        for (int i = 0; i < 20; i++) {
            harness.signal(0, BackendServerSignal.Kind.HEALTHY);
            runRounds(harness, 1, this::badFailsFast);
        }
        require(countAtBad(harness) == before, "A wrong health endpoint must change nothing.");
    }

    @Example
    void unhealthyReportsDoNotOutweighAnswers() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 2);
        runRounds(harness, 5, server -> AttemptOutcome.ANSWERED);
        for (int i = 0; i < 4; i++) {
            harness.signal(i, BackendServerSignal.Kind.UNHEALTHY);
        }
        require(harness.mAdmission.headroom().usableSlots() == 8, "All servers answer well.");
    }

    @Example
    void unhealthyReportsOfAllServersEjectHalfOfThem() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 2);
        for (int i = 0; i < 4; i++) {
            harness.signal(i, BackendServerSignal.Kind.UNHEALTHY);
        }
        require(harness.mAdmission.headroom().usableSlots() == 4, "Half of each zone stays.");
    }

    @Example
    void errorsOfAllServersEjectNone() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 2);
        runRounds(harness, 40, server -> AttemptOutcome.SERVER_ERROR);
        require(
                harness.mAdmission.headroom().usableSlots() >= 4,
                "At least half of the slots must stay, but %d did.",
                harness.mAdmission.headroom().usableSlots());
    }

    @Example
    void slowServerIsEjected() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 1);
        for (int i = 0; i < 200; i++) {
            List<RequestId> fast = new ArrayList<>();
            RequestId slow = null;
            for (int j = 0; j < 4; j++) {
                RequestId request = harness.offer(60_000);
                BackendServerId server = harness.mDispatched.get(request);
                if (BAD.equals(server)) {
                    slow = request;
                } else if (server != null) {
                    fast.add(request);
                }
            }
            harness.pass(20);
            fast.forEach(each -> harness.mAdmission.complete(each, AttemptOutcome.ANSWERED));
            harness.pass(180);
            completeAndCancelWaiting(harness, slow);
        }
        int atBad = countAtBad(harness);
        require(atBad < 60, "The slow server must get less than its quarter, but got %d.", atBad);
    }

    @Example
    void ejectedServerReturnsThroughTrialAndRampIn() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 4);
        runRounds(harness, 20, this::badFailsFast);
        require(harness.mAdmission.headroom().usableSlots() == 12, "The server is ejected.");
        int before = countAtBad(harness);
        harness.pass(2_000);
        runRounds(harness, 1, server -> AttemptOutcome.ANSWERED);
        require(countAtBad(harness) == before + 1, "The trial is one request at a time.");
        List<Integer> usable = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            runRounds(harness, 1, server -> AttemptOutcome.ANSWERED);
            usable.add(harness.mAdmission.headroom().usableSlots());
        }
        require(usable.contains(13) && usable.contains(14), "It ramps in: %s.", usable);
        require(harness.mAdmission.headroom().usableSlots() == 16, "It has all its slots back.");
    }

    @Example
    void onceOnlyRequestsAreNotUsedAsTrialRequests() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 2);
        runRounds(harness, 20, this::badFailsFast);
        int before = countAtBad(harness);
        harness.pass(3_000);
        for (int i = 0; i < 8; i++) {
            harness.offer(1_000, 5, OperationKind.ONCE_ONLY);
        }
        require(countAtBad(harness) == before, "Once-only work must go to servers in use.");
    }

    @Example
    void unreachableServersAreTriedAgainOneByOne() {
        AdmissionHarness harness = AdmissionHarness.whole(2, 2);
        for (int i = 0; i < 2; i++) {
            harness.run(1, AttemptOutcome.UNREACHABLE);
        }
        RequestId refused = harness.offer(1_000);
        require(
                harness.mRefused.get(refused).cause() == RefusalCause.NO_BACKEND_SERVER,
                "No server can be reached.");
        require(
                harness.mRefused.get(refused).retryAfter().isPresent(),
                "The refusal must say when to retry.");
        harness.pass(100);
        harness.run(10, AttemptOutcome.ANSWERED);
        require(harness.mAdmission.headroom().usableSlots() == 1, "One server is back, cold.");
    }

    @Example
    void shedAnswersLowerTheUsableSlots() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 4);
        List<RequestId> requests = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            requests.add(harness.offer(10_000));
        }
        harness.mAdmission.complete(requests.get(3), AttemptOutcome.SHED);
        harness.mAdmission.complete(requests.get(2), AttemptOutcome.SHED);
        require(harness.mAdmission.headroom().usableSlots() == 2, "The server took two.");
    }

    private AttemptOutcome badFailsFast(BackendServerId server) {
        return server.equals(BAD) ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.ANSWERED;
    }

    /** Offers two requests for each of 4 servers in every round; failed ones complete at once. */
    private static Map<BackendServerId, Integer> runRounds(
            AdmissionHarness harness,
            int rounds,
            Function<BackendServerId, AttemptOutcome> outcome) {
        Map<BackendServerId, Integer> counts = new HashMap<>();
        for (int i = 0; i < rounds; i++) {
            List<RequestId> good = new ArrayList<>();
            for (int j = 0; j < 8; j++) {
                RequestId request = harness.offer(10_000);
                if (!harness.isDispatched(request)) {
                    continue;
                }
                BackendServerId server = harness.mDispatched.get(request);
                counts.merge(server, 1, Integer::sum);
                if (outcome.apply(server) == AttemptOutcome.ANSWERED) {
                    good.add(request);
                } else {
                    harness.mAdmission.complete(request, outcome.apply(server));
                }
            }
            harness.pass(20);
            good.forEach(each -> harness.mAdmission.complete(each, AttemptOutcome.ANSWERED));
            completeAndCancelWaiting(harness, null);
        }
        return counts;
    }

    /** Completes the given request, and cancels the requests that still wait. */
    private static void completeAndCancelWaiting(AdmissionHarness harness, RequestId first) {
        if (first != null) {
            harness.mAdmission.complete(first, AttemptOutcome.ANSWERED);
        }
        for (RequestId request : List.copyOf(harness.mOffered.keySet())) {
            if (harness.isWaiting(request)) {
                harness.mAdmission.cancel(request);
                harness.mOffered.remove(request);
            }
        }
    }

    private static int countAtBad(AdmissionHarness harness) {
        return (int) harness.mDispatched.values().stream().filter(BAD::equals).count();
    }
}
