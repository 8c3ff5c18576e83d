package io.masticpond.daemon.forwarding;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.OperationName;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.masticpond.daemon.steering.HeaderField;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Answer;
import io.masticpond.protocol.generated.Forward;
import io.masticpond.protocol.generated.ForwardAnswer;
import io.masticpond.protocol.generated.Header;
import io.masticpond.protocol.generated.HeadroomEntry;
import io.masticpond.protocol.generated.RefusalEntry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Turns requests and their ends into messages between instances and back.
 *
 * <p>Reading throws {@link IllegalArgumentException} for a message that no instance of ours sends.
 *
 * @since 0.1
 */
public final class ForwardCodec {

    /**
     * The shard number of a request that the receiver is asked to steer and to pay for. An instance
     * of an earlier build cannot read it and declines the message, so nothing runs unpaid.
     */
    private static final int ANY_SHARD = -1;

    /** The region of such a request, which the receiver chooses itself. */
    private static final RegionId ANY_REGION = new RegionId("any");

    private ForwardCodec() {}

    /**
     * Writes a request.
     *
     * @param request the request
     * @param shard the shard that the receiver is asked to admit to
     * @param remainingNanos the time that remains, in nanoseconds
     * @return the message
     */
    public static Forward toForward(SteeredRequest request, Shard shard, long remainingNanos) {
        Forward.Builder builder =
                Forward.newBuilder()
                        .setRequest(request.head().id().value())
                        .setService(shard.service().value())
                        .setRegion(shard.region().value())
                        .setShard(shard.number())
                        .setMethod(request.method())
                        .setPath(request.path())
                        .setBody(UnsafeByteOperations.unsafeWrap(request.body()))
                        .setRemainingNanos(remainingNanos)
                        .setPriority(request.head().priority())
                        .setKind(request.head().kind().name());
        request.operation().ifPresent(name -> builder.setOperation(name.value()));
        request.operationId().ifPresent(builder::setOperationId);
        for (HeaderField field : request.headers()) {
            builder.addHeaders(header(field));
        }
        return builder.build();
    }

    /**
     * Writes a request that the receiver is asked to steer and to pay for.
     *
     * @param request the request
     * @param remainingNanos the time that remains, in nanoseconds
     * @return the message
     */
    public static Forward toUnchargedForward(SteeredRequest request, long remainingNanos) {
        Shard any = new Shard(request.head().service(), ANY_REGION, 0);
        return toForward(request, any, remainingNanos).toBuilder().setShard(ANY_SHARD).build();
    }

    /**
     * Tells whether the receiver is asked to steer a request and to pay for it.
     *
     * @param forward the message
     * @return whether it is; else it is asked to admit to a shard, and the sender has paid
     */
    public static boolean isUncharged(Forward forward) {
        return forward.getShard() == ANY_SHARD;
    }

    /**
     * Reads a request.
     *
     * @param forward the message
     * @param nowNanos the time now, in nanoseconds of the monotonic clock
     * @return the request
     */
    public static SteeredRequest toRequest(Forward forward, long nowNanos) {
        RequestHead head =
                new RequestHead(
                        new RequestId(forward.getRequest()),
                        new ServiceId(forward.getService()),
                        nowNanos + forward.getRemainingNanos(),
                        forward.getPriority(),
                        OperationKind.valueOf(forward.getKind()));
        return new SteeredRequest(
                head,
                optional(forward.getOperation()).map(OperationName::new),
                forward.getMethod(),
                forward.getPath(),
                fields(forward.getHeadersList()),
                forward.getBody().toByteArray(),
                optional(forward.getOperationId()));
    }

    /**
     * Reads the shard of a request.
     *
     * @param forward the message
     * @return the shard
     */
    public static Shard toShard(Forward forward) {
        return new Shard(
                new ServiceId(forward.getService()),
                new RegionId(forward.getRegion()),
                forward.getShard());
    }

    /**
     * Writes the end of a request.
     *
     * @param request the request
     * @param end the end
     * @return the message, without headroom
     */
    public static ForwardAnswer.Builder toAnswer(RequestId request, RequestCompletion end) {
        ForwardAnswer.Builder builder = ForwardAnswer.newBuilder().setRequest(request.value());
        if (end instanceof RequestCompletion.Refused refused) {
            Refusal refusal = refused.refusal();
            return builder.setRefusal(
                    RefusalEntry.newBuilder()
                            .setVerdict(refusal.verdict().name())
                            .setCause(refusal.cause().name())
                            .setDetail(refusal.detail())
                            .setRetryAfterMillis(
                                    refusal.retryAfter().map(Duration::toMillis).orElse(0L)));
        }
        RequestCompletion.Answered answered = (RequestCompletion.Answered) end;
        Answer.Builder answer =
                Answer.newBuilder()
                        .setStatus(answered.status())
                        .setBody(UnsafeByteOperations.unsafeWrap(answered.body()))
                        .setBackendServer(answered.backendServer());
        for (HeaderField field : answered.headers()) {
            answer.addHeaders(header(field));
        }
        return builder.setAnswer(answer);
    }

    /**
     * Reads the end of a request.
     *
     * @param answer the message
     * @return the end
     */
    public static RequestCompletion toCompletion(ForwardAnswer answer) {
        return switch (answer.getEndCase()) {
            case ANSWER ->
                    new RequestCompletion.Answered(
                            answer.getAnswer().getStatus(),
                            fields(answer.getAnswer().getHeadersList()),
                            bytes(answer.getAnswer().getBody()),
                            answer.getAnswer().getBackendServer());
            case REFUSAL -> new RequestCompletion.Refused(toRefusal(answer.getRefusal()));
            default ->
                    throw new IllegalArgumentException("An answer must have an end, but has none.");
        };
    }

    /**
     * Writes the counts of a shard.
     *
     * @param shard the shard
     * @param headroom the counts
     * @return the message
     */
    public static HeadroomEntry toEntry(Shard shard, Headroom headroom) {
        return HeadroomEntry.newBuilder()
                .setService(shard.service().value())
                .setRegion(shard.region().value())
                .setShard(shard.number())
                .setUsableSlots(headroom.usableSlots())
                .setInFlight(headroom.inFlight())
                .setWaiting(headroom.waiting())
                .setExpectedWaitNanos(headroom.expectedWaitNanos())
                .setStep(headroom.step().name())
                .build();
    }

    /**
     * Reads the shard that counts are of.
     *
     * @param entry the message
     * @return the shard
     */
    public static Shard toShard(HeadroomEntry entry) {
        return new Shard(
                new ServiceId(entry.getService()),
                new RegionId(entry.getRegion()),
                entry.getShard());
    }

    /**
     * Reads the counts of a shard.
     *
     * @param entry the message
     * @return the counts
     */
    public static Headroom toHeadroom(HeadroomEntry entry) {
        return new Headroom(
                entry.getUsableSlots(),
                entry.getInFlight(),
                entry.getWaiting(),
                entry.getExpectedWaitNanos(),
                DegradationStep.valueOf(entry.getStep()));
    }

    private static Refusal toRefusal(RefusalEntry entry) {
        return new Refusal(
                Verdict.valueOf(entry.getVerdict()),
                RefusalCause.valueOf(entry.getCause()),
                entry.getDetail(),
                entry.getRetryAfterMillis() == 0
                        ? Optional.empty()
                        : Optional.of(Duration.ofMillis(entry.getRetryAfterMillis())));
    }

    private static Header header(HeaderField field) {
        return Header.newBuilder().setName(field.name()).setValue(field.value()).build();
    }

    private static List<HeaderField> fields(List<Header> headers) {
        return headers.stream()
                .map(header -> new HeaderField(header.getName(), header.getValue()))
                .toList();
    }

    private static Optional<String> optional(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }

    private static byte[] bytes(ByteString string) {
        return string.toByteArray();
    }
}
