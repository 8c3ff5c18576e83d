package io.masticpond.daemon.steering;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.region.RetryBudget;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Tests the completion and the remaining charges of requests for scripted results of forwards. */
class EntrySteeringTest {

    private static final ServiceId SERVICE = new ServiceId("plate-ledger");
    private static final Shard SHARD = new Shard(SERVICE, new RegionId("casa"), 0);
    private static final InstanceId SELF = new InstanceId("self");
    private static final InstanceId FIRST = new InstanceId("first");
    private static final InstanceId SECOND = new InstanceId("second");
    private static final RequestCompletion ANSWER =
            new RequestCompletion.Answered(200, List.of(), new byte[] {1}, "server-1");

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T08:00:00Z"));
    private final Deque<ForwardResult> mResults = new ArrayDeque<>();
    private final List<InstanceId> mForwardedTo = new ArrayList<>();
    private final List<Shard> mOtherShards = new ArrayList<>();
    private final List<RequestCompletion> mCompletions = new ArrayList<>();
    private final SteeringFakes.CountingGate mGate = new SteeringFakes.CountingGate();
    private final SteeringFakes.ListSelector mSelector =
            new SteeringFakes.ListSelector(List.of(new RegionId("casa"), new RegionId("fes")));

    @Example
    void skipsUnreachableInstanceImmediately() {
        mResults.add(new ForwardResult.NotSent("The connection was refused."));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mForwardedTo).containsExactly(FIRST, SECOND);
        assertThat(mCompletions).containsExactly(ANSWER);
        assertThat(mGate.mCharged).isEqualTo(1);
    }

    @Example
    void skipsInstanceThatIsNotTheAdmitter() {
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.NOT_READY)));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mCompletions).containsExactly(ANSWER);
    }

    @Example
    void onceOnlyRequestsAreNotRetriedAfterLostLinks() {
        mResults.add(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mForwardedTo).hasSize(1);
        assertThat(verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(mGate.mCharged).isEqualTo(1);
    }

    @Example
    void readsAreRetriedAfterLostLinksAndEachAttemptIsCharged() {
        mResults.add(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.READ);
        assertThat(mCompletions).containsExactly(ANSWER);
        assertThat(mGate.mCharged).isEqualTo(2);
    }

    @Example
    void theVerdictCoversAnEarlierAttemptThatMayHaveRun() {
        mResults.add(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.NO_CAPACITY)));
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.NO_CAPACITY)));
        submit(OperationKind.READ);
        assertThat(verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Example
    void refusedRequestSpillsToNextRegionAndIsRefunded() {
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.NO_CAPACITY)));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mCompletions).containsExactly(ANSWER);
        assertThat(mSelector.mSelected).containsExactly(new RegionId("casa"), new RegionId("fes"));
        assertThat(mGate.mCharged).isEqualTo(1);
    }

    @Example
    void refusedRequestTriesNextShardBeforeNextRegion() {
        mOtherShards.add(new Shard(SERVICE, new RegionId("casa"), 1));
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.NO_CAPACITY)));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mCompletions).containsExactly(ANSWER);
        assertThat(mSelector.mSelected).containsExactly(new RegionId("casa"));
        assertThat(mGate.mCharged).isEqualTo(1);
    }

    @Example
    void lostLinkEndsOnceOnlyRequestDespiteFurtherShards() {
        mOtherShards.add(new Shard(SERVICE, new RegionId("casa"), 1));
        mResults.add(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mForwardedTo).hasSize(1);
        assertThat(verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Example
    void spendingCapEndsRequestBeforeAnyForward() {
        mGate.mBelowCap = false;
        submit(OperationKind.READ);
        assertThat(mForwardedTo).isEmpty();
        assertThat(mCompletions).hasSize(1);
        assertThat(verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(mSelector.mOpenSelections).isEqualTo(0);
    }

    @Example
    void requestsWaitForAllotmentRenewalUntilCancelled() {
        mGate.mRenewing = true;
        EntrySteering entry = entry();
        entry.submit(request(OperationKind.ONCE_ONLY), mCompletions::add);
        mTime.advance(Duration.ofMillis(200));
        entry.advance();
        assertThat(mCompletions).isEmpty();
        mGate.mRenewing = false;
        mResults.add(endedWith(ANSWER));
        entry.advance();
        assertThat(mCompletions).containsExactly(ANSWER);
        mCompletions.clear();
        mGate.mRenewing = true;
        mTime.advance(Duration.ofMillis(-200).negated());
        entry.submit(request(OperationKind.READ), mCompletions::add);
        entry.cancel(new RequestId("request-1"));
        entry.advance();
        assertThat(verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(mForwardedTo).hasSize(1);
        assertThat(entry.inFlight()).isZero();
    }

    @Example
    void requestsPastTheirDeadlineAreRefusedWithoutForward() {
        mTime.advance(Duration.ofSeconds(2));
        submit(OperationKind.READ);
        assertThat(mForwardedTo).isEmpty();
        assertThat(verdict()).isEqualTo(Verdict.DID_NOT_RUN);
    }

    @Example
    void refusesAsNotRunWhenNoInstanceIsReachable() {
        mResults.add(new ForwardResult.NotSent("Gone."));
        mResults.add(new ForwardResult.NotSent("Gone."));
        mResults.add(new ForwardResult.NotSent("Gone."));
        mResults.add(new ForwardResult.NotSent("Gone."));
        submit(OperationKind.ONCE_ONLY);
        assertThat(verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(mGate.mCharged).isEqualTo(0);
        assertThat(mSelector.mOpenSelections).isEqualTo(0);
    }

    private void submit(OperationKind kind) {
        EntrySteering entry = entry();
        entry.submit(request(kind), mCompletions::add);
        assertThat(entry.inFlight()).isEqualTo(0);
    }

    private EntrySteering entry() {
        List<Shard> shards = new ArrayList<>(mOtherShards);
        shards.add(0, SHARD);
        ShardDirectory directory = new SteeringFakes.FixedDirectory(shards, List.of(FIRST, SECOND));
        RemoteAdmitter remote = new SteeringFakes.ScriptedRemote(mResults, mForwardedTo);
        AdmitterSteering admitter =
                new AdmitterSteering(
                        Runnable::run,
                        directory,
                        (request, server, listener) -> () -> {},
                        (shard, sink) -> new SteeringFakes.HoldingAdmission(),
                        Timeline.NONE);
        return new EntrySteering(
                Runnable::run,
                mTime,
                SELF,
                () -> Configuration.EMPTY,
                new EntrySteering.EntryDecisions(mSelector, mGate, new RetryBudget(0.1, 10)),
                directory,
                admitter,
                remote,
                Timeline.NONE);
    }

    private static SteeredRequest request(OperationKind kind) {
        RequestHead head =
                new RequestHead(
                        new RequestId("request-1"),
                        SERVICE,
                        Duration.ofSeconds(1).toNanos(),
                        5,
                        kind);
        return new SteeredRequest(
                head, Optional.empty(), "POST", "/x", List.of(), new byte[0], Optional.empty());
    }

    private Verdict verdict() {
        return ((RequestCompletion.Refused) mCompletions.get(0)).refusal().verdict();
    }

    private static ForwardResult endedWith(RequestCompletion completion) {
        return new ForwardResult.Ended(completion, Optional.empty());
    }

    private static RequestCompletion refused(Verdict verdict, RefusalCause cause) {
        return new RequestCompletion.Refused(
                new Refusal(verdict, cause, "Arranged by the test.", Optional.empty()));
    }
}
