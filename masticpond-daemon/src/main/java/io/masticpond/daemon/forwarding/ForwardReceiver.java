package io.masticpond.daemon.forwarding;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.Responder;
import io.masticpond.daemon.steering.AdmitterSteering;
import io.masticpond.daemon.steering.EntrySteering;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Forward;
import io.masticpond.protocol.generated.ForwardAnswer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Takes requests that other instances forward, and hands them to the admitter side, or to the entry
 * side if this instance is asked to pay for them.
 *
 * <p>When the ring of the steering duty is full, a request is declined, which says truthfully that
 * it did not run.
 *
 * @since 0.1
 */
public final class ForwardReceiver {

    private final EventLoop mDuty;
    private final AdmitterSteering mAdmitter;
    private final EntrySteering mEntry;
    private final TimeSource mTimeSource;

    /** The requests that this instance steers for others. */
    private final Set<RequestId> mSteered = ConcurrentHashMap.newKeySet();

    /**
     * Makes a receiver.
     *
     * @param duty the steering duty
     * @param admitter the admitter side
     * @param entry the entry side, which passes nothing on that it cannot pay for
     * @param timeSource the clocks
     */
    public ForwardReceiver(
            EventLoop duty, AdmitterSteering admitter, EntrySteering entry, TimeSource timeSource) {
        mDuty = duty;
        mAdmitter = admitter;
        mEntry = entry;
        mTimeSource = timeSource;
    }

    /**
     * Takes the messages of its kinds from now on.
     *
     * @param links the links
     */
    public void register(InstanceLinks links) {
        links.handle(Envelope.BodyCase.FORWARD, this::forward);
        links.handle(Envelope.BodyCase.CANCEL, this::cancel);
    }

    /**
     * Counts the requests that this instance steers for others now; safe for all threads.
     *
     * @return the count
     */
    public int steered() {
        return mSteered.size();
    }

    private void forward(InstanceId from, Envelope envelope, Responder responder) {
        Runnable task;
        try {
            task = task(envelope.getForward(), responder);
        } catch (IllegalArgumentException e) {
            responder.refuse("The request cannot be read: " + e.getMessage());
            return;
        }
        if (!mDuty.offer(task)) {
            responder.refuse("The ring of the steering duty is full.");
        }
    }

    private Runnable task(Forward forward, Responder responder) {
        SteeredRequest request = ForwardCodec.toRequest(forward, mTimeSource.monotonicNanos());
        if (ForwardCodec.isUncharged(forward)) {
            return () -> steer(request, responder);
        }
        Shard shard = ForwardCodec.toShard(forward);
        return () -> mAdmitter.offer(shard, request, end -> answer(responder, shard, request, end));
    }

    private void steer(SteeredRequest request, Responder responder) {
        RequestId id = request.head().id();
        if (!mSteered.add(id)) {
            responder.refuse("The request id is in use.");
            return;
        }
        mEntry.submit(
                request,
                end -> {
                    mSteered.remove(id);
                    responder.answer(
                            Envelope.newBuilder()
                                    .setForwardAnswer(ForwardCodec.toAnswer(id, end))
                                    .build());
                });
    }

    private void answer(
            Responder responder, Shard shard, SteeredRequest request, RequestCompletion end) {
        ForwardAnswer.Builder answer = ForwardCodec.toAnswer(request.head().id(), end);
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
        mDuty.offer(() -> cancel(request));
    }

    private void cancel(RequestId request) {
        mAdmitter.cancel(request);
        if (mSteered.contains(request)) {
            mEntry.cancel(request);
        }
    }
}
