package io.masticpond.daemon.operation;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.operation.Fingerprint;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.operation.OperationOutcome;
import io.masticpond.core.operation.OperationRegistry;
import io.masticpond.daemon.forwarding.ForwardCodec;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.protocol.generated.OutcomeEntry;
import io.masticpond.protocol.generated.OutcomeHandover;
import java.util.List;

/** Codec of outcomes as messages, for objects at the platform and for hand-overs. */
final class OutcomeCodec {

    /**
     * Maximum size of an answer that is copied, in bytes. Of an operation with a larger answer,
     * only the fact that it ran is copied.
     */
    static final int MAXIMUM_COPIED_ANSWER_BYTES = 8 << 10;

    /**
     * Placeholder request id: an outcome names no request, since a repeat is a different request.
     */
    private static final RequestId NO_REQUEST = new RequestId("none");

    private OutcomeCodec() {}

    static byte[] toBytes(List<KeptOutcome<RequestCompletion.Answered>> outcomes) {
        return toMessage(outcomes).toByteArray();
    }

    static OutcomeHandover toMessage(List<KeptOutcome<RequestCompletion.Answered>> outcomes) {
        OutcomeHandover.Builder message = OutcomeHandover.newBuilder();
        outcomes.forEach(outcome -> message.addOutcomes(toEntry(outcome)));
        return message.build();
    }

    static OutcomeEntry toEntry(KeptOutcome<RequestCompletion.Answered> outcome) {
        return OutcomeEntry.newBuilder()
                .setOperationKey(outcome.key().toString())
                .setFingerprint(ByteString.copyFromUtf8(outcome.fingerprint().text()))
                .setExpiresMillis(outcome.key().expiresMillis())
                .setEnd(ForwardCodec.toAnswer(NO_REQUEST, toCopiedCompletion(outcome.outcome())))
                .build();
    }

    /**
     * Decodes outcomes.
     *
     * @throws IllegalArgumentException if the bytes are not in the format that instances write
     */
    static List<KeptOutcome<RequestCompletion.Answered>> fromBytes(byte[] bytes) {
        try {
            return fromMessage(OutcomeHandover.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("The outcomes cannot be read.", e);
        }
    }

    /**
     * Decodes outcomes.
     *
     * @throws IllegalArgumentException if an entry is not in the format that instances write
     */
    static List<KeptOutcome<RequestCompletion.Answered>> fromMessage(OutcomeHandover message) {
        return message.getOutcomesList().stream().map(OutcomeCodec::fromEntry).toList();
    }

    private static KeptOutcome<RequestCompletion.Answered> fromEntry(OutcomeEntry entry) {
        OperationKey key =
                OperationKey.parse(entry.getOperationKey())
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "The operation key of an outcome is malformed."));
        return new KeptOutcome<>(
                key,
                new Fingerprint(entry.getFingerprint().toStringUtf8()),
                toOutcome(ForwardCodec.toCompletion(entry.getEnd())));
    }

    /**
     * Returns the completion for repeated requests, without an answer that is too large to be
     * copied.
     */
    private static RequestCompletion toCopiedCompletion(
            OperationOutcome<RequestCompletion.Answered> outcome) {
        RequestCompletion completion = OutcomeConverter.toCompletion(outcome);
        boolean tooLarge =
                completion instanceof RequestCompletion.Answered answered
                        && AnswerSize.estimateBytes(answered) > MAXIMUM_COPIED_ANSWER_BYTES;
        return tooLarge
                ? new RequestCompletion.Refused(OperationRegistry.answerNotKept())
                : completion;
    }

    private static OperationOutcome<RequestCompletion.Answered> toOutcome(
            RequestCompletion completion) {
        return OutcomeConverter.toOutcome(completion);
    }
}
