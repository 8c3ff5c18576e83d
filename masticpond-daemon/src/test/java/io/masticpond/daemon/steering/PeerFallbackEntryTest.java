package io.masticpond.daemon.steering;

import static org.assertj.core.api.Assertions.assertThat;

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
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import net.jqwik.api.Example;

/**
 * Tests which instances an instance without an allotment forwards its requests to, and how often.
 */
class PeerFallbackEntryTest {

    private static final ServiceId SERVICE = new ServiceId("plate-ledger");
    private static final InstanceId FIRST = new InstanceId("first");
    private static final InstanceId SECOND = new InstanceId("second");
    private static final RequestId REQUEST = new RequestId("request-1");
    private static final RequestCompletion ANSWER =
            new RequestCompletion.Answered(200, List.of(), new byte[] {1}, "server-1");

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T08:00:00Z"));
    private final Deque<ForwardResult> mResults = new ArrayDeque<>();
    private final List<InstanceId> mForwardedTo = new ArrayList<>();
    private final List<InstanceId> mCancelled = new ArrayList<>();
    private final List<RequestCompletion> mCompletions = new ArrayList<>();
    private final SteeringFakes.CountingGate mGate = new SteeringFakes.CountingGate();
    private final Remote mRemote = new Remote();
    private final PeerFallbackEntry mEntry = entry();

    @Example
    void otherInstanceChargesRequestWhilePlatformIsUnavailable() {
        mGate.mUnavailable = true;
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mForwardedTo).containsExactly(FIRST);
        assertThat(mCompletions).containsExactly(ANSWER);
        assertThat(mGate.mCharged).isZero();
    }

    @Example
    void skipsInstancesThatHaveNoAllotmentOrAreUnreachable() {
        mGate.mUnavailable = true;
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY)));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.ONCE_ONLY);
        mResults.add(new ForwardResult.NotSent("The connection was refused."));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mForwardedTo).containsExactly(FIRST, SECOND, SECOND);
        assertThat(mCompletions.get(0)).isEqualTo(ANSWER);
        assertThat(refusal(1).verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(refusal(1).cause()).isEqualTo(RefusalCause.PLATFORM_AWAY);
    }

    @Example
    void retriesInstanceWithoutAllotmentAfterOneSecond() {
        mGate.mUnavailable = true;
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY)));
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.NOT_READY)));
        submit(OperationKind.READ);
        submit(OperationKind.READ);
        assertThat(mForwardedTo).containsExactly(FIRST, SECOND);
        mTime.advance(Duration.ofSeconds(1));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.READ);
        assertThat(mForwardedTo).containsExactly(FIRST, SECOND, FIRST);
        assertThat(mCompletions.get(2)).isEqualTo(ANSWER);
    }

    /** Guards against entries of removed instances that accumulate over the life of a process. */
    @Example
    void forgetsExhaustedAllotmentsAfterOneSecond() {
        mGate.mUnavailable = true;
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY)));
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY)));
        submit(OperationKind.READ);
        assertThat(mEntry.exhaustedCount()).isEqualTo(2);
        mTime.advance(Duration.ofSeconds(1));
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY)));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.READ);
        assertThat(mEntry.exhaustedCount()).isEqualTo(1);
    }

    @Example
    void onceOnlyRequestsOnLostLinksMayHaveRunAndAreNotForwardedAgain() {
        mGate.mUnavailable = true;
        mResults.add(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        submit(OperationKind.ONCE_ONLY);
        assertThat(mForwardedTo).containsExactly(FIRST);
        assertThat(refusal(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Example
    void readsOnLostLinksAreForwardedToNextInstanceAndStayUncertain() {
        mGate.mUnavailable = true;
        mResults.add(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        mResults.add(endedWith(ANSWER));
        submit(OperationKind.READ);
        assertThat(mForwardedTo).containsExactly(FIRST, SECOND);
        assertThat(mCompletions).containsExactly(ANSWER);
        mResults.add(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY)));
        submit(OperationKind.READ);
        assertThat(refusal(1).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Example
    void otherRefusalsOfPeersAreFinal() {
        mGate.mUnavailable = true;
        mResults.add(endedWith(refused(Verdict.DID_NOT_RUN, RefusalCause.SPENDING_CAP)));
        mResults.add(endedWith(refused(Verdict.MAY_HAVE_RUN, RefusalCause.PLATFORM_AWAY)));
        submit(OperationKind.ONCE_ONLY);
        submit(OperationKind.ONCE_ONLY);
        assertThat(mForwardedTo).containsExactly(FIRST, FIRST);
        assertThat(refusal(0).cause()).isEqualTo(RefusalCause.SPENDING_CAP);
        assertThat(refusal(1).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Example
    void doesNotForwardRequestsAboveSpendingCap() {
        mGate.mBelowCap = false;
        submit(OperationKind.READ);
        assertThat(mForwardedTo).isEmpty();
        assertThat(refusal(0).cause()).isEqualTo(RefusalCause.SPENDING_CAP);
    }

    @Example
    void cancelReachesTargetAndNoOtherInstanceIsTried() {
        mGate.mUnavailable = true;
        mRemote.mHolds = true;
        submit(OperationKind.READ);
        mEntry.cancel(REQUEST);
        assertThat(mCancelled).containsExactly(FIRST);
        mRemote.mHeld.accept(new ForwardResult.NotSent("The connection broke."));
        assertThat(mForwardedTo).containsExactly(FIRST);
        assertThat(refusal(0).verdict()).isEqualTo(Verdict.DID_NOT_RUN);
    }

    private void submit(OperationKind kind) {
        long deadline = mTime.monotonicNanos() + Duration.ofSeconds(1).toNanos();
        RequestHead head = new RequestHead(REQUEST, SERVICE, deadline, 5, kind);
        mEntry.submit(
                new SteeredRequest(
                        head,
                        Optional.empty(),
                        "POST",
                        "/x",
                        List.of(),
                        new byte[0],
                        Optional.empty()),
                mCompletions::add);
    }

    private PeerFallbackEntry entry() {
        ShardDirectory directory =
                new SteeringFakes.FixedDirectory(
                        List.of(new Shard(SERVICE, new RegionId("casa"), 0)),
                        List.of(FIRST, SECOND));
        EntrySteering entry = SteeringFakes.entry(mTime, mGate, directory, mRemote);
        return new PeerFallbackEntry(
                entry, Runnable::run, mTime, directory, mRemote, new RetryBudget(0.1, 10));
    }

    private Refusal refusal(int index) {
        return ((RequestCompletion.Refused) mCompletions.get(index)).refusal();
    }

    private static ForwardResult endedWith(RequestCompletion completion) {
        return new ForwardResult.Ended(completion, Optional.empty());
    }

    private static RequestCompletion refused(Verdict verdict, RefusalCause cause) {
        return new RequestCompletion.Refused(
                new Refusal(verdict, cause, "Arranged by the test.", Optional.empty()));
    }

    /** Completes uncharged forwards with scripted results, or holds them. */
    private final class Remote implements RemoteAdmitter {

        private boolean mHolds;
        private Consumer<ForwardResult> mHeld;

        @Override
        public void forward(
                InstanceId to,
                Shard shard,
                SteeredRequest request,
                Consumer<ForwardResult> listener) {
            throw new AssertionError("Nothing was charged, so nothing may be forwarded.");
        }

        @Override
        public void steer(InstanceId to, SteeredRequest request, Consumer<ForwardResult> listener) {
            mForwardedTo.add(to);
            if (mHolds) {
                mHeld = listener;
                return;
            }
            listener.accept(mResults.remove());
        }

        @Override
        public void cancel(InstanceId to, RequestId request) {
            mCancelled.add(to);
        }
    }
}
