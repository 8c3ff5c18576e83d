package io.masticpond.daemon.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's object API, with versions, conditional updates, watches and the list of
 * instances.
 *
 * <p>Thread-safe. Futures complete on a thread of the client, never exceptionally; a callback must
 * hand the result to an event loop and do no work itself.
 *
 * @since 0.1
 */
public interface ObjectStore {

    /** Expected version of an object that must not exist yet. */
    long ABSENT = 0;

    /**
     * Reads an object.
     *
     * @param key the key of the object
     * @return the object, or empty if there is none
     */
    CompletableFuture<Either<PlatformError, Optional<StoredObject>>> read(ObjectKey key);

    /**
     * Writes an object if it still has the expected version. The call is made once: after {@link
     * PlatformError.Uncertain} the caller must read the object to learn the result.
     *
     * @param key the key of the object
     * @param expectedVersion the version that the object must have, or {@link #ABSENT}
     * @param value the new value, at most one megabyte
     * @return the new version
     */
    CompletableFuture<Either<PlatformError, Long>> write(
            ObjectKey key, long expectedVersion, byte[] value);

    /**
     * Waits until an object has a version higher than the given one.
     *
     * @param key the key of the object
     * @param afterVersion the last known version, or {@link #ABSENT}
     * @param timeout the maximum time to wait
     * @return the object, or empty if the timeout elapsed
     */
    CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch(
            ObjectKey key, long afterVersion, Duration timeout);

    /**
     * Lists the names of a kind that start with a prefix, in ascending order.
     *
     * @param kind the kind
     * @param prefix the prefix of the names, or "" for all
     * @return the names
     */
    CompletableFuture<Either<PlatformError, List<String>>> list(ObjectKind kind, String prefix);

    /**
     * Deletes an object if it still has the expected version.
     *
     * @param key the key of the object
     * @param expectedVersion the version that the object must have
     * @return nothing
     */
    CompletableFuture<Either<PlatformError, Void>> delete(ObjectKey key, long expectedVersion);

    /**
     * Reads the platform's list of instances.
     *
     * @return the instances, including those about to be removed
     */
    CompletableFuture<Either<PlatformError, List<ListedInstance>>> instances();
}
