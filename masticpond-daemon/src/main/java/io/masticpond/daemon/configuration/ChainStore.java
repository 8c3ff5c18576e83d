package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationCheckpoint;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ConfigurationHead;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Store of the chain of configuration versions at the platform: the head in one object, checkpoints
 * in parts.
 *
 * <p>Continuations run on the given executor. An object that cannot be decoded is reported as
 * {@link PlatformError.Rejected}.
 */
final class ChainStore {

    /** The key of the object that holds the head. */
    static final ObjectKey HEAD = new ObjectKey(ObjectKind.CONFIGURATION, "head");

    private static final String CHECKPOINT_PREFIX = "checkpoint-";

    private final ObjectStore mStore;
    private final MultipartObjects mParts;
    private final ConfigurationCodec mCodec;
    private final EventLoopExecutor mExecutor;

    ChainStore(ObjectStore store, ConfigurationCodec codec, EventLoopExecutor executor) {
        mStore = Assert.notNull(store, "An object store");
        mCodec = Assert.notNull(codec, "A codec");
        mExecutor = Assert.notNull(executor, "An executor");
        mParts = new MultipartObjects(store, executor);
    }

    CompletableFuture<Either<PlatformError, HeadObject>> readHead() {
        return mStore.read(HEAD)
                .thenApplyAsync(
                        read ->
                                read.flatMap(
                                        object ->
                                                object.map(this::decodeHead)
                                                        .orElseGet(ChainStore::emptyHead)),
                        mExecutor);
    }

    CompletableFuture<Either<PlatformError, Optional<HeadObject>>> watchHead(
            long afterObjectVersion, Duration timeout) {
        return mStore.watch(HEAD, afterObjectVersion, timeout)
                .thenApplyAsync(
                        watched ->
                                watched.flatMap(
                                        object ->
                                                object.map(this::decodeHead)
                                                        .map(head -> head.map(Optional::of))
                                                        .orElseGet(
                                                                () ->
                                                                        Either.right(
                                                                                Optional.empty()))),
                        mExecutor);
    }

    /**
     * Returns the configuration of a head, computed from the known configuration if the log reaches
     * back to it, and read from the checkpoint otherwise.
     */
    CompletableFuture<Either<PlatformError, Configuration>> load(
            ConfigurationHead head, Configuration known) {
        Optional<Configuration> advanced = head.advance(known);
        if (advanced.isPresent()) {
            return CompletableFuture.completedFuture(Either.right(advanced.get()));
        }
        return readCheckpoint(head.checkpoint())
                .thenApplyAsync(
                        read ->
                                read.flatMap(
                                        checkpoint ->
                                                head.advance(checkpoint)
                                                        .<Either<PlatformError, Configuration>>map(
                                                                Either::right)
                                                        .orElseGet(
                                                                () -> rejected("It has a gap."))),
                        mExecutor);
    }

    /**
     * Writes the content of the head's checkpoint, and returns the head with the names of the
     * parts.
     */
    CompletableFuture<Either<PlatformError, ConfigurationHead>> writeCheckpoint(
            ConfigurationHead head, ConfigurationContent content) {
        ConfigurationCheckpoint checkpoint = head.checkpoint();
        String prefix = prefixOf(checkpoint.version().number()) + checkpoint.plan();
        return mParts.write(ObjectKind.CONFIGURATION, prefix, mCodec.encode(content))
                .thenApply(written -> written.map(head::withCheckpointParts));
    }

    CompletableFuture<Either<PlatformError, Long>> writeHead(HeadWrite write) {
        return mStore.write(HEAD, write.expectedObjectVersion(), mCodec.encode(write.head()));
    }

    /**
     * Deletes the parts of checkpoints of versions before the given one; a later call retries what
     * failed.
     */
    void deleteCheckpointsBefore(long version) {
        mParts.deleteBefore(ObjectKind.CONFIGURATION, CHECKPOINT_PREFIX, prefixOf(version));
    }

    private CompletableFuture<Either<PlatformError, Configuration>> readCheckpoint(
            ConfigurationCheckpoint checkpoint) {
        if (checkpoint.parts().isEmpty()) {
            return CompletableFuture.completedFuture(Either.right(Configuration.EMPTY));
        }
        return mParts.read(ObjectKind.CONFIGURATION, checkpoint.parts())
                .thenApplyAsync(
                        read -> read.flatMap(document -> decodeContent(checkpoint, document)),
                        mExecutor);
    }

    private Either<PlatformError, Configuration> decodeContent(
            ConfigurationCheckpoint checkpoint, byte[] document) {
        return mCodec.decode(document, ConfigurationContent.class)
                .map(
                        content ->
                                new Configuration(
                                        checkpoint.version(),
                                        Optional.of(new PlanId(checkpoint.plan())),
                                        content))
                .mapLeft(fault -> new PlatformError.Rejected("A checkpoint: " + fault.message()));
    }

    private Either<PlatformError, HeadObject> decodeHead(StoredObject object) {
        return mCodec.decode(object.value(), ConfigurationHead.class)
                .map(head -> new HeadObject(head, object.version()))
                .mapLeft(fault -> new PlatformError.Rejected("The head: " + fault.message()));
    }

    private static Either<PlatformError, HeadObject> emptyHead() {
        return Either.right(new HeadObject(ConfigurationHead.EMPTY, ObjectStore.ABSENT));
    }

    private static <T> Either<PlatformError, T> rejected(String message) {
        return Either.left(new PlatformError.Rejected(message));
    }

    private static String prefixOf(long version) {
        return String.format("%s%015d-", CHECKPOINT_PREFIX, version);
    }

    /**
     * Conditional write of the head.
     *
     * @param head the head with the names of its parts
     * @param expectedObjectVersion the version that the object must have
     */
    record HeadWrite(ConfigurationHead head, long expectedObjectVersion) {}
}
