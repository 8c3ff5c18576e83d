package io.masticpond.daemon.operation;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.forwarding.ForwardCodec;
import io.masticpond.daemon.instance.EnvelopeHandler;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.Responder;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.OperationAsk;
import io.masticpond.protocol.generated.OutcomeHandover;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests which operations of other instances count as in flight. */
class OperationReceiverTest {

    private static final long TIMEOUT_SECONDS = 60;
    private static final InstanceId OTHER = new InstanceId("b");

    private final GuardedInstances mInstances = new GuardedInstances();
    private final GuardedInstances.Instance mHome = mInstances.start("casa-1");
    private final EventLoop mSteeringLoop = new EventLoop("steering", 16, mInstances.mTime);
    private final RequestIntake mIntake = new RequestIntake();
    private final Map<Envelope.BodyCase, EnvelopeHandler> mHandlers =
            new EnumMap<>(Envelope.BodyCase.class);
    private final List<Envelope> mAnswers = new ArrayList<>();
    private final List<String> mRefusals = new ArrayList<>();

    OperationReceiverTest() {
        new OperationReceiver(mSteeringLoop, mHome.mGuard, mIntake, mInstances.mTime)
                .register(
                        (InstanceLinks)
                                Proxy.newProxyInstance(
                                        InstanceLinks.class.getClassLoader(),
                                        new Class<?>[] {InstanceLinks.class},
                                        (proxy, method, arguments) ->
                                                mHandlers.put(
                                                        (Envelope.BodyCase) arguments[0],
                                                        (EnvelopeHandler) arguments[1])));
        mSteeringLoop.start();
    }

    @AfterTry
    void close() {
        mSteeringLoop.close();
    }

    /**
     * Guards against a planned stop that cuts an operation which another instance passed to this
     * one, its home, because only the requests of callers and forwards were counted.
     */
    @Example
    void operationOfOtherInstanceIsInFlightUntilItIsAnswered() {
        send(ask());
        assertThat(mIntake.count()).isEqualTo(1);
        onSteeringThread(() -> mHome.execute(GuardedInstances.answer("reserved")));
        assertThat(mAnswers).hasSize(1);
        assertThat(mIntake.count()).isZero();
    }

    /** Guards against an operation that begins after the stop found nothing in flight. */
    @Example
    void operationAfterCloseIsRefused() {
        mIntake.close();
        send(ask());
        onSteeringThread(() -> {});
        assertThat(mRefusals).containsExactly("This instance is stopping.");
        assertThat(mHome.mRunning).isEmpty();
    }

    /** Guards against outcomes that are lost, as they were adopted by an instance that stops. */
    @Example
    void outcomesAreNotAdoptedAfterClose() {
        mIntake.close();
        send(
                Envelope.newBuilder()
                        .setOutcomeHandover(OutcomeHandover.getDefaultInstance())
                        .build());
        onSteeringThread(() -> {});
        assertThat(mRefusals).hasSize(1);
        assertThat(mAnswers).isEmpty();
    }

    private void onSteeringThread(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mSteeringLoop.put(
                () -> {
                    task.run();
                    done.complete(null);
                });
        done.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private void send(Envelope envelope) {
        mHandlers.get(envelope.getBodyCase()).handle(OTHER, envelope, new RecordingResponder());
    }

    private Envelope ask() {
        SteeredRequest request = mInstances.request("plate 7");
        Shard shard = new Shard(new ServiceId("plate-ledger"), new RegionId("any"), 0);
        return Envelope.newBuilder()
                .setOperationAsk(
                        OperationAsk.newBuilder()
                                .setOperationKey(mHome.mGuard.issueKey().toString())
                                .setRequest(
                                        ForwardCodec.toForward(
                                                request,
                                                shard,
                                                GuardedInstances.DEADLINE.toNanos())))
                .build();
    }

    /** Responder that records what is sent, and ends with it. */
    private final class RecordingResponder implements Responder {

        private Runnable mOnEnd = () -> {};

        @Override
        public Incarnation peer() {
            return new Incarnation(OTHER, 1);
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
            mRefusals.add(reason);
            mOnEnd.run();
        }
    }
}
