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
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import io.masticpond.protocol.generated.Cancel;
import io.masticpond.protocol.generated.Envelope;
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

/** Passes requests on to an instance that is asked to pay, and asserts what it does with them. */
class ChargedForwardTest {

    private static final InstanceId ASKER = new InstanceId("asker");
    private static final ServiceId SERVICE = new ServiceId("plate-ledger");
    private static final RequestId REQUEST = new RequestId("request-1");

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T08:00:00Z"));
    private final EventLoop mDuty = new EventLoop("steering", 16, mTime);
    private final Deque<ForwardResult> mResults = new ArrayDeque<>();
    private final List<InstanceId> mForwardedTo = new ArrayList<>();
    private final List<Envelope> mAnswers = new ArrayList<>();
    private final SteeringFakes.CountingGate mGate = new SteeringFakes.CountingGate();
    private final Map<Envelope.BodyCase, EnvelopeHandler> mHandlers =
            new EnumMap<>(Envelope.BodyCase.class);
    private final EntrySteering mEntry = entry();
    private final ForwardReceiver mReceiver = receiver();

    @Example
    void theInstanceThatIsAskedPaysAndSteers() {
        RequestCompletion answer =
                new RequestCompletion.Answered(200, List.of(), new byte[] {1}, "server-1");
        mResults.add(new ForwardResult.Ended(answer, Optional.empty()));
        passOn();
        runDuty();
        assertThat(mGate.mCharged).isEqualTo(1);
        assertThat(mAnswers).hasSize(1);
        assertThat(mAnswers.get(0).getForwardAnswer().getAnswer().getBackendServer())
                .isEqualTo("server-1");
        assertThat(mReceiver.steered()).isZero();
    }

    @Example
    void theInstanceThatIsAskedRefusesWhatItCannotPayForAndAsksNobody() {
        mGate.mUnavailable = true;
        passOn();
        runDuty();
        assertThat(mForwardedTo).isEmpty();
        RequestCompletion end = ForwardCodec.toCompletion(mAnswers.get(0).getForwardAnswer());
        Refusal refusal = ((RequestCompletion.Refused) end).refusal();
        assertThat(refusal.verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(refusal.cause()).isEqualTo(RefusalCause.PLATFORM_AWAY);
    }

    @Example
    void theAskerMayGiveUpWhatItPassedOn() {
        mGate.mRenewing = true;
        passOn();
        cancel();
        runDuty();
        assertThat(mReceiver.steered()).isEqualTo(1);
        mGate.mRenewing = false;
        mEntry.advance();
        assertThat(mForwardedTo).isEmpty();
        RequestCompletion end = ForwardCodec.toCompletion(mAnswers.get(0).getForwardAnswer());
        assertThat(((RequestCompletion.Refused) end).refusal().cause())
                .isEqualTo(RefusalCause.CANCELLED);
        assertThat(mReceiver.steered()).isZero();
    }

    @Example
    void anotherInstanceCannotGiveUpRequestsOfOwnCallers() {
        mGate.mRenewing = true;
        List<RequestCompletion> ends = new ArrayList<>();
        mEntry.submit(request(), ends::add);
        cancel();
        runDuty();
        mGate.mRenewing = false;
        RequestCompletion answer =
                new RequestCompletion.Answered(200, List.of(), new byte[] {1}, "server-1");
        mResults.add(new ForwardResult.Ended(answer, Optional.empty()));
        mEntry.advance();
        assertThat(ends).containsExactly(answer);
    }

    @Example
    void anInstanceOfAnEarlierBuildDeclinesSinceItFindsNoShard() {
        assertThatThrownBy(
                        () -> ForwardCodec.toShard(ForwardCodec.toUnchargedForward(request(), 1)))
                .isInstanceOf(IllegalArgumentException.class);
        Shard shard = new Shard(SERVICE, new RegionId("any"), 0);
        assertThat(ForwardCodec.isUncharged(ForwardCodec.toForward(request(), shard, 1))).isFalse();
    }

    private void passOn() {
        Envelope envelope =
                Envelope.newBuilder()
                        .setForward(
                                ForwardCodec.toUnchargedForward(
                                        request(), Duration.ofSeconds(1).toNanos()))
                        .build();
        mHandlers.get(Envelope.BodyCase.FORWARD).handle(ASKER, envelope, new Answers());
    }

    private void cancel() {
        Envelope envelope =
                Envelope.newBuilder()
                        .setCancel(Cancel.newBuilder().setRequest(REQUEST.value()))
                        .build();
        mHandlers.get(Envelope.BodyCase.CANCEL).handle(ASKER, envelope, new Answers());
    }

    /** Runs what the duty's ring holds, to its end. */
    private void runDuty() {
        mDuty.start();
        mDuty.close();
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

    private ForwardReceiver receiver() {
        ForwardReceiver receiver =
                new ForwardReceiver(mDuty, SteeringFakes.admitter(directory()), mEntry, mTime);
        receiver.register(
                (InstanceLinks)
                        Proxy.newProxyInstance(
                                InstanceLinks.class.getClassLoader(),
                                new Class<?>[] {InstanceLinks.class},
                                (proxy, method, arguments) ->
                                        mHandlers.put(
                                                (Envelope.BodyCase) arguments[0],
                                                (EnvelopeHandler) arguments[1])));
        return receiver;
    }

    private static ShardDirectory directory() {
        return new SteeringFakes.FixedDirectory(
                List.of(new Shard(SERVICE, new RegionId("casa"), 0)),
                List.of(new InstanceId("first")));
    }

    /** Keeps the answers. */
    private final class Answers implements Responder {

        @Override
        public Incarnation peer() {
            return new Incarnation(ASKER, 1);
        }

        @Override
        public void answer(Envelope answer) {
            mAnswers.add(answer);
        }

        @Override
        public void refuse(String reason) {
            throw new AssertionError(reason);
        }
    }
}
