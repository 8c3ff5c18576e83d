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
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.HandoverReceipt;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/**
 * Takes the requests and outcomes that other instances pass on, and hands them to the guard.
 *
 * <p>When the ring of the steering duty is full they are declined, which is true: nothing ran.
 *
 * @since 0.1
 */
public final class OperationReceiver {

    private static final Duration SWEEP = Duration.ofMillis(20);

    private final EventLoop mSteering;
    private final OnceOnlyGuard mGuard;
    private final TimeSource mTimeSource;

    /**
     * Makes a receiver.
     *
     * @param steering the steering duty
     * @param guard the guard, which belongs to that duty
     * @param timeSource the clocks
     */
    public OperationReceiver(EventLoop steering, OnceOnlyGuard guard, TimeSource timeSource) {
        mSteering = Assert.notNull(steering, "A duty");
        mGuard = Assert.notNull(guard, "A guard");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    /**
     * Takes the messages of its kinds from now on, and lets time act on the guard; must be called
     * before the steering duty starts.
     *
     * @param links the links
     */
    public void register(InstanceLinks links) {
        mSteering.every(SWEEP, () -> mGuard.advance(mTimeSource.monotonicNanos()));
        links.handle(Envelope.BodyCase.OPERATION_ASK, this::ask);
        links.handle(Envelope.BodyCase.OUTCOME_HANDOVER, this::handover);
    }

    private void ask(InstanceId from, Envelope envelope, Responder responder) {
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
        offer(responder, () -> task.accept(end -> answer(responder, request, end)));
    }

    /** Tells what to do with a request, which ends by a call of the listener given to the task. */
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

    private static void answer(Responder responder, SteeredRequest request, RequestCompletion end) {
        responder.answer(
                Envelope.newBuilder()
                        .setForwardAnswer(ForwardCodec.toAnswer(request.head().id(), end))
                        .build());
    }

    private void handover(InstanceId from, Envelope envelope, Responder responder) {
        List<KeptOutcome<RequestCompletion.Answered>> outcomes;
        try {
            outcomes = OutcomeCodec.fromMessage(envelope.getOutcomeHandover());
        } catch (IllegalArgumentException e) {
            responder.refuse("The outcomes cannot be read: " + e.getMessage());
            return;
        }
        offer(responder, () -> adopt(from, outcomes, responder));
    }

    /** Takes the outcomes of the sender's own operations; of others it has no say. */
    private void adopt(
            InstanceId from,
            List<KeptOutcome<RequestCompletion.Answered>> outcomes,
            Responder responder) {
        int taken = 0;
        for (KeptOutcome<RequestCompletion.Answered> outcome : outcomes) {
            boolean own = outcome.key().home().instance().equals(from);
            if (own && mGuard.adopt(outcome)) {
                taken++;
            }
        }
        responder.answer(
                Envelope.newBuilder()
                        .setHandoverReceipt(HandoverReceipt.newBuilder().setTaken(taken))
                        .build());
    }

    private void offer(Responder responder, Runnable task) {
        if (!mSteering.offer(task)) {
            responder.refuse("The ring of the steering duty is full.");
        }
    }
}
