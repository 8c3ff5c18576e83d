package io.masticpond.entry.replica;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import io.masticpond.entry.replica.CategoryCopy.CopyPart;
import io.masticpond.entry.replica.CategoryCopy.TimestampedDocument;
import io.masticpond.protocol.generated.relay.CategoryAnswer;
import io.masticpond.protocol.generated.relay.RelayedDocument;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Codec for parts of copies in relay messages. */
final class RelayCodec {

    /** Holder for lazy initialization, since most instances never relay. */
    private static final class Json {
        private static final ObjectMapper MAPPER = new ObjectMapper();
    }

    /**
     * Returns the category that may be relayed under a name.
     *
     * @param name the name on the wire
     * @return the category, or empty if it is unknown or not relayed
     */
    Optional<Category> category(String name) {
        for (Category category : Category.values()) {
            if (category != Category.INSTANCES && category.name().equals(name)) {
                return Optional.of(category);
            }
        }
        return Optional.empty();
    }

    /**
     * Encodes a part.
     *
     * @param part the part
     * @param nowNanos the monotonic time
     * @return the message
     */
    CategoryAnswer write(CopyPart part, long nowNanos) {
        CategoryAnswer.Builder answer =
                CategoryAnswer.newBuilder()
                        .setCategory(part.category().name())
                        .setRevision(part.revision())
                        .setWhole(part.whole());
        for (TimestampedDocument timestamped : part.documents()) {
            answer.addDocuments(document(timestamped, nowNanos));
        }
        return answer.build();
    }

    private RelayedDocument document(TimestampedDocument timestamped, long nowNanos) {
        StoredDocument document = timestamped.document();
        RelayedDocument.Builder message =
                RelayedDocument.newBuilder()
                        .setName(document.name())
                        .setRevision(document.revision())
                        .setDeleted(document.deleted())
                        .setAgeMs(Duration.ofNanos(nowNanos - timestamped.stateNanos()).toMillis());
        if (!document.deleted()) {
            message.setContent(content(document.content()));
        }
        return message.build();
    }

    private ByteString content(JsonNode content) {
        try {
            return ByteString.copyFrom(Json.MAPPER.writeValueAsBytes(content));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("A document could not be written.", exception);
        }
    }

    /**
     * Decodes a part.
     *
     * @param category its category
     * @param answer the message
     * @param nowNanos the monotonic time
     * @return the part, or one sentence that describes the error
     */
    Either<String, CopyPart> read(Category category, CategoryAnswer answer, long nowNanos) {
        if (answer.getRevision() < 0) {
            return Either.left("A revision is negative.");
        }
        List<TimestampedDocument> documents = new ArrayList<>();
        for (RelayedDocument document : answer.getDocumentsList()) {
            boolean isValid = !document.getName().isEmpty() && document.getRevision() >= 0;
            if (!isValid || document.getAgeMs() < 0) {
                return Either.left("A document has no name, or a negative revision or age.");
            }
            try {
                documents.add(timestamped(category, document, nowNanos));
            } catch (IOException exception) {
                return Either.left("A document is not valid JSON.");
            }
        }
        return Either.right(
                new CopyPart(category, answer.getRevision(), answer.getWhole(), documents));
    }

    private TimestampedDocument timestamped(
            Category category, RelayedDocument document, long nowNanos) throws IOException {
        JsonNode content =
                document.getDeleted()
                        ? null
                        : Json.MAPPER.readTree(document.getContent().toByteArray());
        StoredDocument stored =
                new StoredDocument(
                        category,
                        document.getName(),
                        document.getRevision(),
                        document.getDeleted(),
                        content);
        return new TimestampedDocument(
                stored, nowNanos - Duration.ofMillis(document.getAgeMs()).toNanos());
    }
}
