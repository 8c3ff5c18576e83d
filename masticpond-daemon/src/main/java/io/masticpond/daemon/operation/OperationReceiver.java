package io.masticpond.daemon.operation;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.operation.CallerKey;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.forwarding.ForwardCodec;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.Responder;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.HandoverReceipt;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Receiver of the requests and outcomes that other instances forward, which passes them to the
 * guard.
 *
 * <p>When the queue of the steering event loop is full they are declined, which is a reliable
 * statement that nothing ran.
 *
 * @since 0.1
 */
public final class OperationReceiver {

    private static final Duration ADVANCE_PERIOD = Duration.ofMillis(20);

    private final EventLoop mSteering;
    private final OnceOnlyGuard mGuard;
    private final RequestIntake mIntake;
    private final TimeSource mTimeSource;

    /**
     * Creates a receiver.
     *
     * @param steering the steering event loop
     * @param guard the guard, which is confined to that event loop
     * @param intake the intake of requests; once it is closed, all are refused
     * @param timeSource the clocks
     */
    public OperationReceiver(
            EventLoop steering, OnceOnlyGuard guard, RequestIntake intake, TimeSource timeSource) {
        mSteering = Assert.notNull(steering, "An event loop");
        mGuard = Assert.notNull(guard, "A guard");
        mIntake = Assert.notNull(intake, "An intake");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    /**
     * Registers the message handlers and the periodic task that advances the guard. Must be called
     * before the steering event loop starts.
     *
     * @param links the links
     */
    public void register(InstanceLinks links) {
        mSteering.schedulePeriodically(
                ADVANCE_PERIOD, () -> mGuard.advance(mTimeSource.monotonicNanos()));
        links.setHandler(Envelope.BodyCase.OPERATION_ASK, this::handleRequest);
        links.setHandler(Envelope.BodyCase.OUTCOME_HANDOVER, this::handleHandover);
    }

    private void handleRequest(InstanceId from, Envelope envelope, Responder responder) {
        if (!enter(responder)) {
            return;
        }
        String key = envelope.getOperationAsk().getOperationKey();
        SteeredRequest request;
        Consumer<Consumer<RequestCompletion>> task;
        try {
            request =
                    ForwardCodec.toRequest(
                            envelope.getOperationAsk().getRequest(), mTimeSource.monotonicNanos());
            task = task(key, request);
        } catch (IllegalArgumentException e) {
            responder.refuse("The request cannot be read: " + e.getMessage());
            return;
        }
        offer(responder, () -> task.accept(completion -> answer(responder, request, completion)));
    }

    /** Returns the task that passes a request to the guard, with the given completion listener. */
    private Consumer<Consumer<RequestCompletion>> task(String key, SteeredRequest request) {
        if (key.startsWith(LinkOperationPeers.CLAIM_PREFIX)) {
            CallerKey callerKey =
                    new CallerKey(key.substring(LinkOperationPeers.CLAIM_PREFIX.length()));
            return listener -> mGuard.receiveClaim(callerKey, request, listener);
        }
        OperationKey operationKey =
                OperationKey.parse(key)
                        .orElseThrow(() -> new IllegalArgumentException("The key is malformed."));
        return listener -> mGuard.receive(operationKey, request, listener);
    }

    private static void answer(
            Responder responder, SteeredRequest request, RequestCompletion completion) {
        responder.answer(
                Envelope.newBuilder()
                        .setForwardAnswer(ForwardCodec.toAnswer(request.head().id(), completion))
                        .build());
    }

    private void handleHandover(InstanceId from, Envelope envelope, Responder responder) {
        if (!enter(responder)) {
            return;
        }
        List<KeptOutcome<RequestCompletion.Answered>> outcomes;
        try {
            outcomes = OutcomeCodec.fromMessage(envelope.getOutcomeHandover());
        } catch (IllegalArgumentException e) {
            responder.refuse("The outcomes cannot be read: " + e.getMessage());
            return;
        }
        offer(responder, () -> adopt(from, outcomes, responder));
    }

    /**
     * Adopts outcomes of the sender's own operations only, since it has no authority over others.
     */
    private void adopt(
            InstanceId from,
            List<KeptOutcome<RequestCompletion.Answered>> outcomes,
            Responder responder) {
        int adopted = 0;
        for (KeptOutcome<RequestCompletion.Answered> outcome : outcomes) {
            boolean own = outcome.key().home().instance().equals(from);
            if (own && mGuard.adopt(outcome)) {
                adopted++;
            }
        }
        responder.answer(
                Envelope.newBuilder()
                        .setHandoverReceipt(HandoverReceipt.newBuilder().setTaken(adopted))
                        .build());
    }

    /** Admits a request until it has been answered, or refuses it because of a planned stop. */
    private boolean enter(Responder responder) {
        if (!mIntake.tryEnter()) {
            responder.refuse("This instance is stopping.");
            return false;
        }
        responder.onEnd(mIntake::leave);
        return true;
    }

    private void offer(Responder responder, Runnable task) {
        if (!mSteering.offer(task)) {
            responder.refuse("The ring of the steering duty is full.");
        }
    }
}
