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

/** Writes outcomes as messages, for objects at the platform and for hand-overs, and reads them. */
final class OutcomeCodec {

    /** The largest answer that is copied; of a larger one only the fact that it ran. */
    static final int LARGEST_COPIED_ANSWER = 8 << 10;

    /** An outcome's end names no request, since a repeat is another request. */
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
                .setEnd(ForwardCodec.toAnswer(NO_REQUEST, toEnd(outcome.outcome())))
                .build();
    }

    /**
     * Reads outcomes.
     *
     * @throws IllegalArgumentException if the bytes are not what an instance of ours writes
     */
    static List<KeptOutcome<RequestCompletion.Answered>> fromBytes(byte[] bytes) {
        try {
            return fromMessage(OutcomeHandover.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("The outcomes cannot be read.", e);
        }
    }

    /**
     * Reads outcomes.
     *
     * @throws IllegalArgumentException if an entry is not what an instance of ours writes
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

    /** Gives the end that repeats get, without an answer that is too big to be copied. */
    private static RequestCompletion toEnd(OperationOutcome<RequestCompletion.Answered> outcome) {
        RequestCompletion end = OutcomeConverter.toCompletion(outcome);
        boolean tooBig =
                end instanceof RequestCompletion.Answered answered
                        && AnswerSize.of(answered) > LARGEST_COPIED_ANSWER;
        return tooBig ? new RequestCompletion.Refused(OperationRegistry.answerNotKept()) : end;
    }

    private static OperationOutcome<RequestCompletion.Answered> toOutcome(RequestCompletion end) {
        return OutcomeConverter.toOutcome(end);
    }
}
