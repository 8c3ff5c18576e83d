package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * The platform's store as an instance uses it. Calls come from the control thread (one event loop)
 * and their results are given on it; no call blocks.
 *
 * @since 0.2
 */
public interface StoreFeed {

    /**
     * Tells which era of the store its answers are of.
     *
     * @return the newest that any answer has told, 0 if none has
     */
    default long era() {
        return 0;
    }

    /**
     * Lists all objects of a kind, page after page.
     *
     * @param category the kind
     * @param timeout how long the whole list may take
     * @param result hears the objects or why there are none
     */
    void list(Category category, Duration timeout, Consumer<Either<FeedError, FeedResult>> result);

    /**
     * Waits for changes of a kind.
     *
     * @param category the kind
     * @param afterRevision the revision seen last
     * @param wait how long the store may hold the call when nothing changes
     * @param result hears the changes, possibly none, or why there is no answer
     * @return cancels the wait when run; the result is then not heard
     */
    Runnable watch(
            Category category,
            long afterRevision,
            Duration wait,
            Consumer<Either<FeedError, FeedResult>> result);

    /**
     * Writes an object of the system's own, whether it exists or not.
     *
     * @param category the kind; {@link Category#INSTANCES}
     * @param name the name
     * @param content the content
     * @param result hears nothing but success, or why it failed
     */
    void put(
            Category category,
            String name,
            JsonNode content,
            Consumer<Either<FeedError, Void>> result);

    /**
     * Deletes an object of the system's own, if it exists.
     *
     * @param category the kind; {@link Category#INSTANCES}
     * @param name the name
     * @param result hears nothing but success, or why it failed
     */
    void delete(Category category, String name, Consumer<Either<FeedError, Void>> result);
}
