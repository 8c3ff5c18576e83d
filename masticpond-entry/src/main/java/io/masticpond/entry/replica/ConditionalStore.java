package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Strategy interface for objects owned by this system that are changed by conditional writes on
 * their last revision. Called from the control thread, on which results are also delivered; no call
 * blocks, and none is retried automatically.
 *
 * @since 0.3
 */
public interface ConditionalStore {

    /**
     * Object as it was read.
     *
     * @param revision the revision of its last change, positive
     * @param content its content
     * @since 0.3
     */
    record Versioned(long revision, JsonNode content) {}

    /**
     * Reads the current state of an object.
     *
     * @param name its name
     * @param result receives the object, empty if it does not exist, or the reason for the failure
     */
    void read(String name, Consumer<Either<FeedError, Optional<Versioned>>> result);

    /**
     * Writes an object if no other writer has changed it.
     *
     * @param name its name
     * @param expectedRevision the revision seen last, 0 if there must be no such object
     * @param content its new content
     * @param result receives the new revision; {@link FeedError#CONFLICT} or {@link
     *     FeedError#TURNED_AWAY} if nothing was written; any other error if the outcome is unknown
     */
    void write(
            String name,
            long expectedRevision,
            JsonNode content,
            Consumer<Either<FeedError, Long>> result);
}
