package io.masticpond.core.admission;

import static io.masticpond.core.admission.AdmissionHarness.require;
import static io.masticpond.core.admission.AdmissionHarness.share;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.Example;

class DefaultAdmissionTest {

    @Example
    void requestIsRefusedAtOnceWhenItsWaitIsTooLong() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        harness.run(100, AttemptOutcome.ANSWERED);
        harness.offer(1_000);
        harness.offer(1_000);
        RequestId infeasible = harness.offer(150);
        require(harness.isRefused(infeasible), "150 ms can't hold a wait and an answer of 100 ms.");
        Refusal refusal = harness.mRefused.get(infeasible);
        require(refusal.verdict() == Verdict.DID_NOT_RUN, "A refused request did not run.");
        require(refusal.cause() == RefusalCause.NO_CAPACITY, "The cause must be the capacity.");
        require(
                refusal.retryAfter().orElseThrow().compareTo(Duration.ofMillis(50)) >= 0,
                "The refusal must say when to retry.");
    }

    @Example
    void lowestPriorityIsRefusedFirst() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        harness.run(100, AttemptOutcome.ANSWERED);
        harness.offer(1_000);
        RequestId low = harness.offer(250, 1, OperationKind.READ);
        RequestId high = harness.offer(250, 9, OperationKind.READ);
        require(harness.isWaiting(high), "The work of high priority must wait.");
        require(harness.isRefused(low), "The work of low priority must make room.");
        RequestId lowest = harness.offer(250, 0, OperationKind.READ);
        require(harness.isRefused(lowest), "Nothing may make room for the lowest priority.");
        require(harness.isWaiting(high), "The work of high priority must go on waiting.");
    }

    @Example
    void fullQueueRefusesTheLowestPriority() {
        AdmissionSettings defaults = AdmissionSettings.DEFAULT;
        AdmissionHarness harness =
                new AdmissionHarness(
                        new AdmissionSettings(
                                1,
                                defaults.grace(),
                                defaults.reportLag(),
                                defaults.wideningPeriod(),
                                defaults.pauseLimit(),
                                defaults.outliers(),
                                defaults.rampIn()));
        harness.mAdmission.configure(
                AdmissionHarness.servers(1, 1), SlotShare.whole(AdmissionHarness.SELF));
        harness.offer(1_000);
        RequestId low = harness.offer(1_000, 1, OperationKind.READ);
        RequestId high = harness.offer(1_000, 2, OperationKind.READ);
        require(harness.isRefused(low) && harness.isWaiting(high), "The queue holds one.");
        require(
                harness.mRefused.get(low).cause() == RefusalCause.QUEUE_FULL,
                "The cause must be the full queue.");
    }

    @Example
    void waitingRequestIsRefusedBeforeItsDeadline() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        harness.run(100, AttemptOutcome.ANSWERED);
        harness.offer(5_000);
        RequestId waiting = harness.offer(300);
        require(harness.isWaiting(waiting), "The wait is expected to be 100 ms.");
        harness.pass(250);
        require(harness.isRefused(waiting), "With 50 ms left it can't be answered any more.");
    }

    @Example
    void slotOfLostAnswerStaysCountedUntilDeadlineAndGracePass() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        RequestId lost = harness.offer(400);
        harness.pass(50);
        harness.mAdmission.complete(lost, AttemptOutcome.BROKEN);
        RequestId next = harness.offer(2_000);
        harness.pass(400);
        require(harness.isWaiting(next), "The server may still work on the lost request.");
        harness.pass(100);
        require(harness.isDispatched(next), "Deadline and grace have passed.");
    }

    @Example
    void reportFreesTheSlotOnlyIfItIsNewerThanTheDispatch() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        RequestId cancelled = harness.offer(60_000);
        harness.mAdmission.complete(cancelled, AttemptOutcome.CANCELLED);
        RequestId next = harness.offer(120_000);
        harness.pass(400);
        harness.report(0, 0);
        require(harness.isWaiting(next), "A report 500 ms old may be from before the dispatch.");
        harness.pass(100);
        harness.report(0, 1);
        require(harness.isWaiting(next), "The server reports the request as in flight.");
        harness.report(0, 0);
        require(harness.isDispatched(next), "The server reports that the request has ended.");
    }

    @Example
    void restartedServerHoldsNoSlotsOfOldRequests() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        RequestId old = harness.offer(60_000);
        harness.pass(50);
        harness.signal(0, BackendServerSignal.Kind.STARTED);
        harness.mAdmission.complete(old, AttemptOutcome.BROKEN);
        require(
                harness.isDispatched(harness.offer(1_000)),
                "The old request ended with the server.");
    }

    @Example
    void leavingServerGetsNoRequestsUntilItRestarts() {
        AdmissionHarness harness = AdmissionHarness.whole(2, 2);
        harness.signal(0, BackendServerSignal.Kind.LEAVING);
        harness.signal(0, BackendServerSignal.Kind.HEALTHY);
        harness.mAdmission.configure(
                AdmissionHarness.servers(2, 2), SlotShare.whole(AdmissionHarness.SELF));
        for (int i = 0; i < 4; i++) {
            harness.offer(1_000);
        }
        require(
                !harness.mDispatched.containsValue(AdmissionHarness.id(0)),
                "Neither a health answer nor the same configuration revokes the signal.");
        harness.signal(0, BackendServerSignal.Kind.STARTED);
        require(
                harness.mDispatched.containsValue(AdmissionHarness.id(0)),
                "A restarted server gets the waiting requests.");
    }

    @Example
    void cancelledDrainReopensServerAndKeepsRequestsInFlightCounted() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        RequestId inFlight = harness.offer(1_000);
        harness.signal(0, BackendServerSignal.Kind.LEAVING);
        harness.signal(0, BackendServerSignal.Kind.STAYING);
        RequestId next = harness.offer(1_000);
        require(!harness.isDispatched(next), "The slot is held by the request before.");
        harness.mAdmission.complete(inFlight, AttemptOutcome.ANSWERED);
        require(harness.isDispatched(next), "The server takes work again.");
    }

    @Example
    void drainByConfigurationAppliesAtOnceAndIsRevertedByConfiguration() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        RequestId inFlight = harness.offer(1_000);
        harness.mAdmission.configure(
                List.of(AdmissionHarness.server(0, 1, true)),
                SlotShare.whole(AdmissionHarness.SELF));
        harness.signal(0, BackendServerSignal.Kind.LEAVING);
        RequestId refused = harness.offer(1_000);
        require(
                harness.mRefused.get(refused).cause() == RefusalCause.NO_BACKEND_SERVER,
                "No server takes work.");
        harness.mAdmission.complete(inFlight, AttemptOutcome.ANSWERED);
        harness.mAdmission.configure(
                AdmissionHarness.servers(1, 1), SlotShare.whole(AdmissionHarness.SELF));
        require(harness.isDispatched(harness.offer(1_000)), "The drain was revoked.");
    }

    @Example
    void admittersTogetherStayWithinTheSlots() {
        int dispatched = 0;
        for (var self : AdmissionHarness.ADMITTERS) {
            AdmissionHarness harness = new AdmissionHarness(AdmissionSettings.DEFAULT);
            harness.mAdmission.configure(
                    AdmissionHarness.servers(4, 3),
                    new SlotShare(AdmissionShare.FAIR_SHARE, self, AdmissionHarness.ADMITTERS));
            for (int i = 0; i < 20; i++) {
                harness.offer(1_000);
            }
            dispatched += harness.mDispatched.size();
        }
        require(dispatched == 12, "Three admitters must use 12 slots, but used %d.", dispatched);
    }

    @Example
    void newAdmitterWidensByReportsOrAfterTheWideningPeriod() {
        AdmissionHarness harness = new AdmissionHarness(AdmissionSettings.DEFAULT);
        harness.mAdmission.configure(
                AdmissionHarness.servers(4, 3), share(AdmissionShare.WIDENING));
        Headroom start = harness.mAdmission.headroom();
        require(start.step() == DegradationStep.WIDENING, "The step must be visible.");
        require(start.usableSlots() < 12, "Work of the earlier admitter may hold slots.");
        harness.report(0, 0);
        require(
                harness.mAdmission.headroom().usableSlots() == start.usableSlots(),
                "A report that may be older than the change must not widen.");
        harness.pass(600);
        harness.report(0, 0);
        int withOneServer = harness.mAdmission.headroom().usableSlots();
        require(withOneServer > start.usableSlots(), "A newer report must widen.");
        harness.pass(5_000);
        Headroom end = harness.mAdmission.headroom();
        require(end.usableSlots() == 12, "In the end all slots must be usable.");
        require(end.step() == DegradationStep.EXACT, "In the end counts are exact.");
    }

    @Example
    void busyNewAdmitterRecognizesItsOwnRequestsInReports() {
        AdmissionHarness harness = new AdmissionHarness(AdmissionSettings.DEFAULT);
        harness.mAdmission.configure(
                AdmissionHarness.servers(4, 3), share(AdmissionShare.WIDENING));
        for (int i = 0; i < 60; i++) {
            harness.offer(60_000);
        }
        Deque<RequestId> running = new ArrayDeque<>(harness.mDispatched.keySet());
        for (int i = 0; i < 24; i++) {
            harness.pass(50);
            harness.mAdmission.complete(running.remove(), AttemptOutcome.ANSWERED);
            running = new ArrayDeque<>(harness.mDispatched.keySet());
            for (int done = 0; done <= i; done++) {
                running.remove();
            }
        }
        int fair = harness.mAdmission.headroom().usableSlots();
        for (int server = 0; server < 4; server++) {
            BackendServerId id = AdmissionHarness.id(server);
            int atServer =
                    (int) running.stream().map(harness.mDispatched::get).filter(id::equals).count();
            harness.report(server, atServer);
        }
        int widened = harness.mAdmission.headroom().usableSlots();
        require(widened == 12, "Only own work is left, but %d of 12, from %d.", widened, fair);
    }

    @Example
    void pausedAdmitterResumesWithItsFairShare() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 3);
        harness.mAdmission.configure(AdmissionHarness.servers(4, 3), share(AdmissionShare.WHOLE));
        require(harness.mAdmission.headroom().usableSlots() == 12, "All slots are usable.");
        harness.mTimeSource.advance(Duration.ofSeconds(3));
        for (int i = 0; i < 20; i++) {
            harness.offer(1_000);
        }
        require(harness.mDispatched.size() < 12, "Another admitter may have taken over meanwhile.");
        require(
                harness.mAdmission.headroom().step() == DegradationStep.FAIR_SHARE,
                "The step must be visible.");
        harness.mAdmission.configure(AdmissionHarness.servers(4, 3), share(AdmissionShare.WHOLE));
        require(harness.mDispatched.size() < 12, "Membership needs time to catch up.");
        harness.pass(1_000);
        require(
                harness.mAdmission.headroom().step() == DegradationStep.WIDENING,
                "With no other admitter named, the slots widen.");
        harness.pass(5_000);
        require(harness.mAdmission.headroom().usableSlots() == 12, "All slots are usable again.");
    }

    @Example
    void pausedAdmitterThatWasReplacedKeepsItsFairShare() {
        AdmissionHarness harness = AdmissionHarness.whole(4, 3);
        harness.mTimeSource.advance(Duration.ofSeconds(3));
        harness.mAdmission.advance();
        harness.mAdmission.configure(
                AdmissionHarness.servers(4, 3), share(AdmissionShare.FAIR_SHARE));
        harness.pass(10_000);
        require(
                harness.mAdmission.headroom().step() == DegradationStep.FAIR_SHARE,
                "Another admitter is active.");
    }

    @Example
    void wallClockDoesNotMatter() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        harness.run(100, AttemptOutcome.ANSWERED);
        harness.offer(1_000);
        RequestId waiting = harness.offer(400);
        harness.mTimeSource.stepWallClock(Duration.ofHours(5));
        harness.mAdmission.advance();
        harness.mTimeSource.stepWallClock(Duration.ofDays(-2));
        harness.mAdmission.advance();
        require(harness.isWaiting(waiting), "No time has passed.");
    }

    @Example
    void cancelledRequestInTheQueueNeverRuns() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        RequestId first = harness.offer(1_000);
        RequestId second = harness.offer(1_000);
        require(harness.mAdmission.cancel(second), "It was waiting.");
        require(!harness.mAdmission.cancel(first), "It was in flight.");
        harness.mAdmission.complete(first, AttemptOutcome.ANSWERED);
        require(!harness.isDispatched(second), "It must not run after it was cancelled.");
    }

    @Example
    void earliestDeadlineGoesFirst() {
        AdmissionHarness harness = AdmissionHarness.whole(1, 1);
        RequestId running = harness.offer(1_000);
        RequestId late = harness.offer(3_000);
        RequestId early = harness.offer(2_000);
        harness.mAdmission.complete(running, AttemptOutcome.ANSWERED);
        require(harness.isDispatched(early) && harness.isWaiting(late), "Early goes first.");
    }

    @Example
    void serversWithEqualFreeShareAreUsedInTurn() {
        AdmissionHarness harness = AdmissionHarness.whole(3, 2);
        List<BackendServerId> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            harness.pass(1);
            servers.add(harness.mDispatched.get(harness.offer(1_000)));
        }
        require(
                servers.subList(0, 3).equals(servers.subList(3, 6)),
                "All servers get one request before any gets its second, but got %s.",
                servers);
    }
}
