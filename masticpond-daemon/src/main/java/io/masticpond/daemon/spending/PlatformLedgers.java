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
 * Reads and changes ledgers at the platform, and turns the platform's errors into answers about
 * ledgers. Safe for all threads.
 *
 * @since 0.1
 */
public final class PlatformLedgers {

    private final ObjectStore mObjectStore;
    private final LedgerCodec mCodec;

    /**
     * Makes the access to ledgers.
     *
     * @param objectStore the platform
     * @param codec reads and writes ledgers
     */
    public PlatformLedgers(ObjectStore objectStore, LedgerCodec codec) {
        mObjectStore = objectStore;
        mCodec = codec;
    }

    /**
     * Reads a ledger.
     *
     * @param key the ledger
     * @return a future of a function that gives the answer; it parses, so call it on a duty
     */
    public CompletableFuture<LedgerReply> read(LedgerKey key) {
        return mObjectStore.read(objectKey(key)).thenApply(result -> () -> answer(key, result));
    }

    /**
     * Makes a change, once.
     *
     * @param change the change
     * @return a future of a function that gives the answer; it parses, so call it on a duty
     */
    public CompletableFuture<LedgerReply> write(LedgerChange change) {
        byte[] value = mCodec.encode(change.ledger());
        return mObjectStore
                .write(objectKey(change.key()), change.expectedVersion(), value)
                .thenApply(result -> () -> written(change.key(), result));
    }

    private LedgerAnswer written(LedgerKey key, Either<PlatformError, Long> result) {
        return result.fold(error -> failed(key, error), LedgerAnswer.Written::new);
    }

    private LedgerAnswer answer(
            LedgerKey key, Either<PlatformError, Optional<StoredObject>> result) {
        return result.fold(
                error -> failed(key, error), found -> decode(key, found, LedgerAnswer.Found::new));
    }

    private LedgerAnswer failed(LedgerKey key, PlatformError error) {
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

    /** An answer that is yet to be parsed. */
    @FunctionalInterface
    public interface LedgerReply {

        /**
         * Parses the answer.
         *
         * @return the answer
         */
        LedgerAnswer parse();
    }
}
