package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Objects of the system's own that are changed by whoever has seen their last revision. Calls come
 * from the control thread and their results are given on it; no call blocks, and none is made twice
 * by itself.
 *
 * @since 0.3
 */
public interface ConditionalStore {

    /**
     * An object as it was read.
     *
     * @param revision the revision of its last change, positive
     * @param content its content
     * @since 0.3
     */
    record Versioned(long revision, JsonNode content) {}

    /**
     * Reads an object as it is now.
     *
     * @param name its name
     * @param result hears the object, or that there is none, or why that is not known
     */
    void read(String name, Consumer<Either<FeedError, Optional<Versioned>>> result);

    /**
     * Writes an object if nobody else has changed it.
     *
     * @param name its name
     * @param expectedRevision the revision seen last, 0 if there must be no such object
     * @param content its new content
     * @param result hears the new revision; {@link FeedError#CONFLICT} and {@link
     *     FeedError#TURNED_AWAY} if nothing was done; any other error if that is not known
     */
    void write(
            String name,
            long expectedRevision,
            JsonNode content,
            Consumer<Either<FeedError, Long>> result);
}
