package io.masticpond.daemon.spending;

import io.masticpond.core.spending.LedgerAnswer;
import io.masticpond.core.spending.LedgerChange;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.VersionedLedger;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * Repository of the ledgers in the platform's object store, which translates the store's errors
 * into {@link LedgerAnswer}s. Thread-safe.
 *
 * @since 0.1
 */
public final class PlatformLedgers {

    private final ObjectStore mObjectStore;
    private final LedgerCodec mCodec;

    /**
     * Creates the repository.
     *
     * @param objectStore the object store of the platform
     * @param codec encodes and decodes ledgers
     */
    public PlatformLedgers(ObjectStore objectStore, LedgerCodec codec) {
        mObjectStore = objectStore;
        mCodec = codec;
    }

    /**
     * Reads a ledger.
     *
     * @param key the key of the ledger
     * @return a future of a reply that is not parsed yet; call {@link LedgerReply#parse} on an
     *     event loop, since it decodes the document
     */
    public CompletableFuture<LedgerReply> read(LedgerKey key) {
        return mObjectStore
                .read(objectKey(key))
                .thenApply(result -> () -> toReadAnswer(key, result));
    }

    /**
     * Writes a change once, without retries.
     *
     * @param change the change
     * @return a future of a reply that is not parsed yet; call {@link LedgerReply#parse} on an
     *     event loop, since it decodes the document
     */
    public CompletableFuture<LedgerReply> write(LedgerChange change) {
        byte[] value = mCodec.encode(change.ledger());
        return mObjectStore
                .write(objectKey(change.key()), change.expectedVersion(), value)
                .thenApply(result -> () -> toWriteAnswer(change.key(), result));
    }

    private LedgerAnswer toWriteAnswer(LedgerKey key, Either<PlatformError, Long> result) {
        return result.fold(error -> toErrorAnswer(key, error), LedgerAnswer.Written::new);
    }

    private LedgerAnswer toReadAnswer(
            LedgerKey key, Either<PlatformError, Optional<StoredObject>> result) {
        return result.fold(
                error -> toErrorAnswer(key, error),
                found -> decode(key, found, LedgerAnswer.Found::new));
    }

    private LedgerAnswer toErrorAnswer(LedgerKey key, PlatformError error) {
        if (error instanceof PlatformError.Conflict conflict) {
            return decode(key, conflict.current(), LedgerAnswer.Conflicted::new);
        }
        if (error instanceof PlatformError.Uncertain) {
            return new LedgerAnswer.Uncertain();
        }
        if (error instanceof PlatformError.Rejected) {
            return new LedgerAnswer.Unreadable(error.message());
        }
        return new LedgerAnswer.Unavailable();
    }

    private LedgerAnswer decode(
            LedgerKey key,
            Optional<StoredObject> found,
            Function<Optional<VersionedLedger>, LedgerAnswer> answer) {
        if (found.isEmpty()) {
            return answer.apply(Optional.empty());
        }
        long version = found.get().version();
        return mCodec.decode(key, found.get().value())
                .fold(
                        fault -> new LedgerAnswer.Unreadable(fault.message()),
                        ledger -> answer.apply(Optional.of(new VersionedLedger(version, ledger))));
    }

    private static ObjectKey objectKey(LedgerKey key) {
        return new ObjectKey(ObjectKind.LEDGER, key.objectName());
    }

    /** Reply of the platform that is not parsed yet. */
    @FunctionalInterface
    public interface LedgerReply {

        /**
         * Parses the reply.
         *
         * @return the answer
         */
        LedgerAnswer parse();
    }
}
