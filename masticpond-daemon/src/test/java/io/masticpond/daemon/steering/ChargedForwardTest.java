package io.masticpond.daemon.steering;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.forwarding.ForwardCodec;
import io.masticpond.daemon.forwarding.ForwardReceiver;
import io.masticpond.daemon.instance.EnvelopeHandler;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.Responder;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import io.masticpond.protocol.generated.Cancel;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Forward;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;

/**
 * Tests an instance that receives uncharged requests from another instance and is to charge them.
 */
class ChargedForwardTest {

    private static final InstanceId FORWARDING_INSTANCE = new InstanceId("asker");
    private static final ServiceId SERVICE = new ServiceId("plate-ledger");
    private static final RequestId REQUEST = new RequestId("request-1");

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T08:00:00Z"));
    private final EventLoop mSteeringLoop = new EventLoop("steering", 16, mTime);
    private final Deque<ForwardResult> mResults = new ArrayDeque<>();
    private final List<InstanceId> mForwardedTo = new ArrayList<>();
    private final List<Envelope> mAnswers = new ArrayList<>();
    private final SteeringFakes.CountingGate mGate = new SteeringFakes.CountingGate();
    private final Map<Envelope.BodyCase, EnvelopeHandler> mHandlers =
            new EnumMap<>(Envelope.BodyCase.class);
    private final EntrySteering mEntry = entry();
    private final RequestIntake mIntake = new RequestIntake();
    private final List<String> mRefusals = new ArrayList<>();

    ChargedForwardTest() {
        registerReceiver();
    }

    @Example
    void receivingInstanceChargesAndSteersRequest() {
        RequestCompletion answer =
                new RequestCompletion.Answered(200, List.of(), new byte[] {1}, "server-1");
        mResults.add(new ForwardResult.Ended(answer, Optional.empty()));
        forwardUncharged();
        runSteeringLoop();
        assertThat(mGate.mCharged).isEqualTo(1);
        assertThat(mAnswers).hasSize(1);
        assertThat(mAnswers.get(0).getForwardAnswer().getAnswer().getBackendServer())
                .isEqualTo("server-1");
        assertThat(mIntake.count()).isZero();
    }

    @Example
    void receivingInstanceWithoutAllotmentRefusesAndDoesNotForward() {
        mGate.mUnavailable = true;
        forwardUncharged();
        runSteeringLoop();
        assertThat(mForwardedTo).isEmpty();
        RequestCompletion completion =
                ForwardCodec.toCompletion(mAnswers.get(0).getForwardAnswer());
        Refusal refusal = ((RequestCompletion.Refused) completion).refusal();
        assertThat(refusal.verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(refusal.cause()).isEqualTo(RefusalCause.PLATFORM_AWAY);
    }

    @Example
    void forwardingInstanceCanCancelItsRequest() {
        mGate.mRenewing = true;
        forwardUncharged();
        cancel();
        runSteeringLoop();
        assertThat(mIntake.count()).isEqualTo(1);
        mGate.mRenewing = false;
        mEntry.advance();
        assertThat(mForwardedTo).isEmpty();
        RequestCompletion completion =
                ForwardCodec.toCompletion(mAnswers.get(0).getForwardAnswer());
        assertThat(((RequestCompletion.Refused) completion).refusal().cause())
                .isEqualTo(RefusalCause.CANCELLED);
        assertThat(mIntake.count()).isZero();
    }

    /**
     * Guards against a planned stop that cuts a forwarded request: it was not counted while it
     * waited for the steering thread, and a charged one was counted some milliseconds late.
     */
    @Example
    void forwardedRequestIsInFlightFromItsReceiptToItsAnswer() {
        mGate.mUnavailable = true;
        forwardUncharged();
        assertThat(mIntake.count()).isEqualTo(1);
        forwardCharged();
        assertThat(mIntake.count()).isEqualTo(2);
        runSteeringLoop();
        assertThat(mAnswers).hasSize(2);
        assertThat(mIntake.count()).isZero();
    }

    /** Guards against a forwarded request that begins after the stop found nothing in flight. */
    @Example
    void forwardedRequestAfterCloseIsRefused() {
        mIntake.close();
        forwardUncharged();
        forwardCharged();
        runSteeringLoop();
        assertThat(mRefusals)
                .containsExactly("This instance is stopping.", "This instance is stopping.");
        assertThat(mAnswers).isEmpty();
        assertThat(mForwardedTo).isEmpty();
    }

    @Example
    void otherInstancesCannotCancelRequestsOfLocalCallers() {
        mGate.mRenewing = true;
        List<RequestCompletion> completions = new ArrayList<>();
        mEntry.submit(request(), completions::add);
        cancel();
        runSteeringLoop();
        mGate.mRenewing = false;
        RequestCompletion answer =
                new RequestCompletion.Answered(200, List.of(), new byte[] {1}, "server-1");
        mResults.add(new ForwardResult.Ended(answer, Optional.empty()));
        mEntry.advance();
        assertThat(completions).containsExactly(answer);
    }

    @Example
    void earlierBuildRejectsUnchargedForwardForLackOfShard() {
        assertThatThrownBy(
                        () -> ForwardCodec.toShard(ForwardCodec.toUnchargedForward(request(), 1)))
                .isInstanceOf(IllegalArgumentException.class);
        Shard shard = new Shard(SERVICE, new RegionId("any"), 0);
        assertThat(ForwardCodec.isUncharged(ForwardCodec.toForward(request(), shard, 1))).isFalse();
    }

    private void forwardUncharged() {
        forward(ForwardCodec.toUnchargedForward(request(), Duration.ofSeconds(1).toNanos()));
    }

    private void forwardCharged() {
        Shard shard = new Shard(SERVICE, new RegionId("casa"), 0);
        forward(ForwardCodec.toForward(request(), shard, Duration.ofSeconds(1).toNanos()));
    }

    private void forward(Forward forward) {
        Envelope envelope = Envelope.newBuilder().setForward(forward).build();
        mHandlers
                .get(Envelope.BodyCase.FORWARD)
                .handle(FORWARDING_INSTANCE, envelope, new RecordingResponder());
    }

    private void cancel() {
        Envelope envelope =
                Envelope.newBuilder()
                        .setCancel(Cancel.newBuilder().setRequest(REQUEST.value()))
                        .build();
        mHandlers
                .get(Envelope.BodyCase.CANCEL)
                .handle(FORWARDING_INSTANCE, envelope, new RecordingResponder());
    }

    /** Runs the queued tasks of the event loop to completion. */
    private void runSteeringLoop() {
        mSteeringLoop.start();
        mSteeringLoop.close();
    }

    private static SteeredRequest request() {
        RequestHead head =
                new RequestHead(
                        REQUEST, SERVICE, Duration.ofSeconds(1).toNanos(), 5, OperationKind.READ);
        return new SteeredRequest(
                head, Optional.empty(), "GET", "/x", List.of(), new byte[0], Optional.empty());
    }

    private EntrySteering entry() {
        return SteeringFakes.entry(
                mTime,
                mGate,
                directory(),
                new SteeringFakes.ScriptedRemote(mResults, mForwardedTo));
    }

    private void registerReceiver() {
        ForwardReceiver receiver =
                new ForwardReceiver(
                        mSteeringLoop, SteeringFakes.admitter(directory()), mEntry, mIntake, mTime);
        receiver.register(
                (InstanceLinks)
                        Proxy.newProxyInstance(
                                InstanceLinks.class.getClassLoader(),
                                new Class<?>[] {InstanceLinks.class},
                                (proxy, method, arguments) ->
                                        mHandlers.put(
                                                (Envelope.BodyCase) arguments[0],
                                                (EnvelopeHandler) arguments[1])));
    }

    private static ShardDirectory directory() {
        return new SteeringFakes.FixedDirectory(
                List.of(new Shard(SERVICE, new RegionId("casa"), 0)),
                List.of(new InstanceId("first")));
    }

    /** Responder that records the answers. */
    private final class RecordingResponder implements Responder {

        private Runnable mOnEnd = () -> {};

        @Override
        public Incarnation peer() {
            return new Incarnation(FORWARDING_INSTANCE, 1);
        }

        @Override
        public void answer(Envelope answer) {
            mAnswers.add(answer);
            mOnEnd.run();
        }

        @Override
        public void onEnd(Runnable listener) {
            mOnEnd = listener;
        }

        @Override
        public void refuse(String reason) {
            if (!mIntake.isClosed()) {
                throw new AssertionError(reason);
            }
            mRefusals.add(reason);
        }
    }
}
