package io.masticpond.daemon.forwarding;

import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.LinkError;
import io.masticpond.daemon.steering.RemoteAdmitter;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Cancel;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Forward;
import io.masticpond.protocol.generated.ForwardAnswer;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link RemoteAdmitter} that forwards requests over the links between instances. Thread-safe.
 *
 * @since 0.1
 */
public final class LinkRemoteAdmitter implements RemoteAdmitter {

    private static final Logger sLogger = LoggerFactory.getLogger(LinkRemoteAdmitter.class);

    /**
     * The time to wait beyond the deadline, so that the admitter's own answer arrives before the
     * timeout.
     */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(100);

    private final InstanceLinks mLinks;
    private final TimeSource mTimeSource;

    /**
     * Creates a forwarder.
     *
     * @param links the links
     * @param timeSource the clocks
     */
    public LinkRemoteAdmitter(InstanceLinks links, TimeSource timeSource) {
        mLinks = links;
        mTimeSource = timeSource;
    }

    @Override
    public void forward(
            InstanceId to, Shard shard, SteeredRequest request, Consumer<ForwardResult> listener) {
        long remaining = remainingNanos(request);
        call(to, request, ForwardCodec.toForward(request, shard, remaining), remaining, listener);
    }

    @Override
    public void steer(InstanceId to, SteeredRequest request, Consumer<ForwardResult> listener) {
        long remaining = remainingNanos(request);
        call(to, request, ForwardCodec.toUnchargedForward(request, remaining), remaining, listener);
    }

    private long remainingNanos(SteeredRequest request) {
        return Math.max(1, request.head().deadlineNanos() - mTimeSource.monotonicNanos());
    }

    private void call(
            InstanceId to,
            SteeredRequest request,
            Forward forward,
            long remainingNanos,
            Consumer<ForwardResult> listener) {
        Envelope envelope = Envelope.newBuilder().setForward(forward).build();
        var unused =
                mLinks.call(to, envelope, Duration.ofNanos(remainingNanos).plus(ANSWER_MARGIN))
                        .thenAccept(
                                answer -> listener.accept(toResult(answer, request.head().id())))
                        .exceptionally(error -> logFailed(request.head().id(), error));
    }

    /**
     * Logs a failure to deliver a completion, such as that of a listener, which would otherwise go
     * unnoticed.
     */
    private static Void logFailed(RequestId request, Throwable error) {
        sLogger.error(
                "INSTANCE  Could not deliver the completion of the forwarded request {}.",
                request,
                error);
        return null;
    }

    @Override
    public void cancel(InstanceId to, RequestId request) {
        mLinks.send(
                to,
                Envelope.newBuilder()
                        .setCancel(Cancel.newBuilder().setRequest(request.value()))
                        .build());
    }

    /**
     * Converts the answer to a forwarded request to a result.
     *
     * @param answer the answer, or the reason why there is none
     * @param request the request
     * @return the result
     */
    public static ForwardResult toResult(Either<LinkError, Envelope> answer, RequestId request) {
        if (answer.isLeft()) {
            return toFailure(answer.getLeft());
        }
        Envelope envelope = answer.get();
        if (!envelope.hasForwardAnswer()
                || !envelope.getForwardAnswer().getRequest().equals(request.value())) {
            return new ForwardResult.Lost(
                    RefusalCause.INSTANCE_LOST, "The answer is not to this request.");
        }
        return toEnded(envelope.getForwardAnswer());
    }

    private static ForwardResult toEnded(ForwardAnswer answer) {
        try {
            Optional<Headroom> headroom =
                    answer.hasHeadroom()
                            ? Optional.of(ForwardCodec.toHeadroom(answer.getHeadroom()))
                            : Optional.empty();
            return new ForwardResult.Ended(ForwardCodec.toCompletion(answer), headroom);
        } catch (IllegalArgumentException e) {
            return new ForwardResult.Lost(
                    RefusalCause.INSTANCE_LOST, "The answer cannot be read: " + e.getMessage());
        }
    }

    private static ForwardResult toFailure(LinkError error) {
        if (!error.mayHaveArrived()) {
            return new ForwardResult.NotSent(error.message());
        }
        RefusalCause cause =
                error instanceof LinkError.Timeout
                        ? RefusalCause.DEADLINE
                        : RefusalCause.INSTANCE_LOST;
        return new ForwardResult.Lost(cause, error.message());
    }
}
