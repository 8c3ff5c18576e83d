package io.masticpond.daemon.configuration;

import io.masticpond.core.support.Assert;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reader and writer of documents above a megabyte, which are deflated and split into several
 * objects with new names.
 *
 * <p>A part is written once and never changed. A part that exists already comes from an attempt
 * whose answer was lost, and counts as written.
 */
final class MultipartObjects {

    /** The maximum size of a part in bytes, below the megabyte that the platform accepts. */
    static final int PART_BYTES = 900_000;

    private static final Logger sLogger = LoggerFactory.getLogger(MultipartObjects.class);
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final ObjectStore mStore;
    private final EventLoopExecutor mExecutor;

    MultipartObjects(ObjectStore store, EventLoopExecutor executor) {
        mStore = Assert.notNull(store, "An object store");
        mExecutor = Assert.notNull(executor, "An executor");
    }

    CompletableFuture<Either<PlatformError, List<String>>> write(
            ObjectKind kind, String prefix, byte[] document) {
        byte[] deflated = DeflatedDocument.deflate(document);
        CompletableFuture<Either<PlatformError, List<String>>> written =
                CompletableFuture.completedFuture(Either.right(List.of()));
        for (int start = 0; start < deflated.length; start += PART_BYTES) {
            byte[] part =
                    Arrays.copyOfRange(
                            deflated, start, Math.min(deflated.length, start + PART_BYTES));
            ObjectKey key = new ObjectKey(kind, prefix + "-" + start / PART_BYTES);
            written = written.thenComposeAsync(names -> writeNext(names, key, part), mExecutor);
        }
        return written;
    }

    CompletableFuture<Either<PlatformError, byte[]>> read(ObjectKind kind, List<String> names) {
        CompletableFuture<Either<PlatformError, ByteArrayOutputStream>> bytes =
                CompletableFuture.completedFuture(Either.right(new ByteArrayOutputStream()));
        for (String name : names) {
            bytes =
                    bytes.thenComposeAsync(
                            accumulated -> readNext(accumulated, new ObjectKey(kind, name)),
                            mExecutor);
        }
        return bytes.thenApplyAsync(
                read ->
                        read.flatMap(
                                deflated ->
                                        DeflatedDocument.inflate(
                                                        deflated.toByteArray(),
                                                        DeflatedDocument.MAXIMUM_BYTES)
                                                .mapLeft(PlatformError.Rejected::new)),
                mExecutor);
    }

    /**
     * Deletes the parts whose names sort before the given one; the next call retries what failed.
     */
    void deleteBefore(ObjectKind kind, String prefix, String firstKept) {
        mExecutor.whenDone(
                mStore.list(kind, prefix),
                listed ->
                        listed.peek(
                                names ->
                                        names.stream()
                                                .filter(name -> name.compareTo(firstKept) < 0)
                                                .forEach(
                                                        name ->
                                                                delete(
                                                                        new ObjectKey(
                                                                                kind, name)))));
    }

    private void delete(ObjectKey key) {
        mExecutor.whenDone(
                mStore.read(key),
                read -> read.peek(object -> object.ifPresent(stored -> delete(stored))));
    }

    private void delete(StoredObject object) {
        mExecutor.whenDone(
                mStore.delete(object.key(), object.version()),
                deleted ->
                        deleted.peekLeft(
                                error ->
                                        sLogger.debug(
                                                "CONFIG  Could not delete {}: {}",
                                                object.key(),
                                                error.message())));
    }

    private CompletableFuture<Either<PlatformError, List<String>>> writeNext(
            Either<PlatformError, List<String>> names, ObjectKey key, byte[] part) {
        if (names.isLeft()) {
            return CompletableFuture.completedFuture(names);
        }
        return writePart(key, part, 1)
                .thenApply(
                        written ->
                                written.map(
                                        version -> {
                                            List<String> extended = new ArrayList<>(names.get());
                                            extended.add(key.name());
                                            return List.copyOf(extended);
                                        }));
    }

    private CompletableFuture<Either<PlatformError, Long>> writePart(
            ObjectKey key, byte[] part, int attempt) {
        return mStore.write(key, ObjectStore.ABSENT, part)
                .thenComposeAsync(
                        written -> {
                            if (written.isLeft()
                                    && written.getLeft() instanceof PlatformError.Conflict) {
                                return CompletableFuture.completedFuture(
                                        Either.right(ObjectStore.ABSENT));
                            }
                            if (written.isLeft()
                                    && written.getLeft() instanceof PlatformError.Uncertain
                                    && attempt < MAXIMUM_ATTEMPTS) {
                                return writePart(key, part, attempt + 1);
                            }
                            return CompletableFuture.completedFuture(written);
                        },
                        mExecutor);
    }

    private CompletableFuture<Either<PlatformError, ByteArrayOutputStream>> readNext(
            Either<PlatformError, ByteArrayOutputStream> bytes, ObjectKey key) {
        if (bytes.isLeft()) {
            return CompletableFuture.completedFuture(bytes);
        }
        return mStore.read(key)
                .thenApply(read -> read.flatMap(object -> append(bytes.get(), object)));
    }

    private static Either<PlatformError, ByteArrayOutputStream> append(
            ByteArrayOutputStream bytes, Optional<StoredObject> object) {
        if (object.isEmpty()) {
            return Either.left(new PlatformError.Rejected("A part of the document is gone."));
        }
        bytes.writeBytes(object.get().value());
        if (bytes.size() > DeflatedDocument.MAXIMUM_BYTES) {
            return Either.left(new PlatformError.Rejected("The document is too large."));
        }
        return Either.right(bytes);
    }
}
