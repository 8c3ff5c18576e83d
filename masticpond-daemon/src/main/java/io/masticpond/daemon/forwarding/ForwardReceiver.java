package io.masticpond.daemon.forwarding;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.Responder;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.steering.AdmitterSteering;
import io.masticpond.daemon.steering.EntrySteering;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Forward;
import io.masticpond.protocol.generated.ForwardAnswer;
import java.util.HashSet;
import java.util.Set;

/**
 * Receiver of requests that other instances forward. It passes them to the admitter side, or to the
 * entry side if this instance is to charge them to its own allotment.
 *
 * <p>When the queue of the steering event loop is full, a request is declined, which correctly
 * states that it did not run.
 *
 * @since 0.1
 */
public final class ForwardReceiver {

    private final EventLoop mEventLoop;
    private final AdmitterSteering mAdmitter;
    private final EntrySteering mEntry;
    private final RequestIntake mIntake;
    private final TimeSource mTimeSource;

    /** The requests that this instance steers for others; confined to the steering thread. */
    private final Set<RequestId> mSteeredRequests = new HashSet<>();

    /**
     * Creates a receiver.
     *
     * @param eventLoop the steering event loop
     * @param admitter the admitter side
     * @param entry the entry side, which passes on no request that it cannot charge
     * @param intake the intake of requests; once it is closed, all are refused
     * @param timeSource the clocks
     */
    public ForwardReceiver(
            EventLoop eventLoop,
            AdmitterSteering admitter,
            EntrySteering entry,
            RequestIntake intake,
            TimeSource timeSource) {
        mEventLoop = eventLoop;
        mAdmitter = admitter;
        mEntry = entry;
        mIntake = intake;
        mTimeSource = timeSource;
    }

    /**
     * Registers this receiver for its kinds of messages.
     *
     * @param links the links
     */
    public void register(InstanceLinks links) {
        links.setHandler(Envelope.BodyCase.FORWARD, this::forward);
        links.setHandler(Envelope.BodyCase.CANCEL, this::cancel);
    }

    private void forward(InstanceId from, Envelope envelope, Responder responder) {
        if (!mIntake.tryEnter()) {
            responder.refuse("This instance is stopping.");
            return;
        }
        responder.onEnd(mIntake::leave);
        Runnable task;
        try {
            task = createTask(envelope.getForward(), responder);
        } catch (IllegalArgumentException e) {
            responder.refuse("The request cannot be read: " + e.getMessage());
            return;
        }
        if (!mEventLoop.offer(task)) {
            responder.refuse("The ring of the steering duty is full.");
        }
    }

    private Runnable createTask(Forward forward, Responder responder) {
        SteeredRequest request = ForwardCodec.toRequest(forward, mTimeSource.monotonicNanos());
        if (ForwardCodec.isUncharged(forward)) {
            return () -> steer(request, responder);
        }
        Shard shard = ForwardCodec.toShard(forward);
        return () ->
                mAdmitter.offer(
                        shard,
                        request,
                        completion -> answer(responder, shard, request, completion));
    }

    private void steer(SteeredRequest request, Responder responder) {
        RequestId id = request.head().id();
        if (!mSteeredRequests.add(id)) {
            responder.refuse("The request id is in use.");
            return;
        }
        mEntry.submit(
                request,
                completion -> {
                    mSteeredRequests.remove(id);
                    responder.answer(
                            Envelope.newBuilder()
                                    .setForwardAnswer(ForwardCodec.toAnswer(id, completion))
                                    .build());
                });
    }

    private void answer(
            Responder responder,
            Shard shard,
            SteeredRequest request,
            RequestCompletion completion) {
        ForwardAnswer.Builder answer = ForwardCodec.toAnswer(request.head().id(), completion);
        mAdmitter
                .headroom(shard)
                .ifPresent(headroom -> answer.setHeadroom(ForwardCodec.toEntry(shard, headroom)));
        responder.answer(Envelope.newBuilder().setForwardAnswer(answer).build());
    }

    private void cancel(InstanceId from, Envelope envelope, Responder responder) {
        RequestId request;
        try {
            request = new RequestId(envelope.getCancel().getRequest());
        } catch (IllegalArgumentException e) {
            return;
        }
        mEventLoop.offer(() -> cancel(request));
    }

    private void cancel(RequestId request) {
        mAdmitter.cancel(request);
        if (mSteeredRequests.contains(request)) {
            mEntry.cancel(request);
        }
    }
}
