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
 * Codec between requests or their completions and messages between instances.
 *
 * <p>Decoding throws {@link IllegalArgumentException} for a message that no instance of this system
 * sends.
 *
 * @since 0.1
 */
public final class ForwardCodec {

    /**
     * The shard number of a request that the receiver is to steer and to charge to its own
     * allotment. An instance of an earlier build cannot decode it and declines the message, so that
     * no request runs uncharged.
     */
    private static final int ANY_SHARD = -1;

    /**
     * The placeholder for the region of such a request, since the receiver chooses the region
     * itself.
     */
    private static final RegionId ANY_REGION = new RegionId("any");

    private ForwardCodec() {}

    /**
     * Encodes a request that the sender has charged already.
     *
     * @param request the request
     * @param shard the shard that the receiver is to admit the request to
     * @param remainingNanos the time until the deadline, in nanoseconds
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
     * Encodes a request that the receiver is to steer and to charge to its own allotment.
     *
     * @param request the request
     * @param remainingNanos the time until the deadline, in nanoseconds
     * @return the message
     */
    public static Forward toUnchargedForward(SteeredRequest request, long remainingNanos) {
        Shard any = new Shard(request.head().service(), ANY_REGION, 0);
        return toForward(request, any, remainingNanos).toBuilder().setShard(ANY_SHARD).build();
    }

    /**
     * Determines whether the receiver is to steer a request and to charge it to its own allotment.
     *
     * @param forward the message
     * @return {@code true} if it is; {@code false} if the receiver is to admit the request to a
     *     shard and the sender has charged it
     */
    public static boolean isUncharged(Forward forward) {
        return forward.getShard() == ANY_SHARD;
    }

    /**
     * Decodes a request.
     *
     * @param forward the message
     * @param nowNanos the current time, in nanoseconds of the monotonic clock
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
                nonEmpty(forward.getOperation()).map(OperationName::new),
                forward.getMethod(),
                forward.getPath(),
                toFields(forward.getHeadersList()),
                forward.getBody().toByteArray(),
                nonEmpty(forward.getOperationId()));
    }

    /**
     * Decodes the shard of a request.
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
     * Encodes the completion of a request.
     *
     * @param request the request
     * @param completion the completion
     * @return the message, without headroom
     */
    public static ForwardAnswer.Builder toAnswer(RequestId request, RequestCompletion completion) {
        ForwardAnswer.Builder builder = ForwardAnswer.newBuilder().setRequest(request.value());
        if (completion instanceof RequestCompletion.Refused refused) {
            Refusal refusal = refused.refusal();
            return builder.setRefusal(
                    RefusalEntry.newBuilder()
                            .setVerdict(refusal.verdict().name())
                            .setCause(refusal.cause().name())
                            .setDetail(refusal.detail())
                            .setRetryAfterMillis(
                                    refusal.retryAfter().map(Duration::toMillis).orElse(0L)));
        }
        RequestCompletion.Answered answered = (RequestCompletion.Answered) completion;
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
     * Decodes the completion of a request.
     *
     * @param answer the message
     * @return the completion
     */
    public static RequestCompletion toCompletion(ForwardAnswer answer) {
        return switch (answer.getEndCase()) {
            case ANSWER ->
                    new RequestCompletion.Answered(
                            answer.getAnswer().getStatus(),
                            toFields(answer.getAnswer().getHeadersList()),
                            toBytes(answer.getAnswer().getBody()),
                            answer.getAnswer().getBackendServer());
            case REFUSAL -> new RequestCompletion.Refused(toRefusal(answer.getRefusal()));
            default ->
                    throw new IllegalArgumentException("An answer must have an end, but has none.");
        };
    }

    /**
     * Encodes the headroom of a shard.
     *
     * @param shard the shard
     * @param headroom the headroom
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
     * Decodes the shard that a headroom belongs to.
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
     * Decodes the headroom of a shard.
     *
     * @param entry the message
     * @return the headroom
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

    private static List<HeaderField> toFields(List<Header> headers) {
        return headers.stream()
                .map(header -> new HeaderField(header.getName(), header.getValue()))
                .toList();
    }

    private static Optional<String> nonEmpty(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }

    private static byte[] toBytes(ByteString string) {
        return string.toByteArray();
    }
}
