package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Strategy interface for access to the platform's store. Called from the control thread (one event
 * loop), on which results are also delivered; no call blocks.
 *
 * @since 0.2
 */
public interface StoreFeed {

    /**
     * The wait of a watch that only reads the changes so far. It is made on a new connection, since
     * an existing one may have gone silent.
     */
    Duration NOT_HELD = Duration.ofMillis(1);

    /**
     * Returns the era of the store.
     *
     * @return the newest era that any answer has reported, 0 if none has
     */
    default long era() {
        return 0;
    }

    /**
     * Lists all objects of a kind, page after page.
     *
     * @param category the kind
     * @param timeout how long the whole list may take
     * @param result receives the objects or the reason for the failure
     */
    void list(Category category, Duration timeout, Consumer<Either<FeedError, FeedResult>> result);

    /**
     * Watches a kind for changes.
     *
     * @param category the kind
     * @param afterRevision the revision seen last
     * @param wait how long the store may hold the call when nothing changes; {@link #NOT_HELD} or
     *     more
     * @param result receives the changes, possibly none, or the reason for the failure
     * @return cancels the watch when run; no result is then delivered
     */
    Runnable watch(
            Category category,
            long afterRevision,
            Duration wait,
            Consumer<Either<FeedError, FeedResult>> result);

    /**
     * Creates or replaces an object owned by this system.
     *
     * @param category the kind; {@link Category#INSTANCES}
     * @param name the name
     * @param content the content
     * @param result receives the success or the reason for the failure
     */
    void put(
            Category category,
            String name,
            JsonNode content,
            Consumer<Either<FeedError, Void>> result);

    /**
     * Deletes an object owned by this system, if it exists.
     *
     * @param category the kind; {@link Category#INSTANCES}
     * @param name the name
     * @param result receives the success or the reason for the failure
     */
    void delete(Category category, String name, Consumer<Either<FeedError, Void>> result);
}
