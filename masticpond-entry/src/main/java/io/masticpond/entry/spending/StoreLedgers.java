package io.masticpond.entry.spending;

import io.masticpond.core.spending.LedgerAnswer;
import io.masticpond.core.spending.LedgerChange;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.LedgerSink;
import io.masticpond.core.spending.VersionedLedger;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.ConditionalStore.Versioned;
import io.masticpond.entry.replica.FeedError;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/**
 * {@link LedgerSink} that reads and writes ledgers in the store on the control thread, and converts
 * the store's results to ledger answers. A write whose outcome is unknown is reported as uncertain,
 * never as failed.
 */
final class StoreLedgers implements LedgerSink {

    private final ConditionalStore mStore;
    private final String mPrefix;
    private final Executor mControl;
    private final BiConsumer<LedgerKey, LedgerAnswer> mAnswerHandler;

    /**
     * Creates a sink for the ledgers in a store.
     *
     * @param store the store
     * @param prefix the prefix of the names of the ledgers
     * @param control executor of the control thread
     * @param answerHandler receives each answer once, on the control thread
     */
    StoreLedgers(
            ConditionalStore store,
            String prefix,
            Executor control,
            BiConsumer<LedgerKey, LedgerAnswer> answerHandler) {
        mStore = store;
        mPrefix = prefix;
        mControl = control;
        mAnswerHandler = answerHandler;
    }

    @Override
    public void read(LedgerKey key) {
        mControl.execute(
                () ->
                        mStore.read(
                                objectName(key),
                                result -> mAnswerHandler.accept(key, toReadAnswer(key, result))));
    }

    @Override
    public void write(LedgerChange change) {
        LedgerKey key = change.key();
        mControl.execute(
                () ->
                        mStore.write(
                                objectName(key),
                                change.expectedVersion(),
                                LedgerJson.write(change.ledger()),
                                result -> mAnswerHandler.accept(key, toWriteAnswer(result))));
    }

    private String objectName(LedgerKey key) {
        return mPrefix + "." + key.objectName();
    }

    private static LedgerAnswer toReadAnswer(
            LedgerKey key, Either<FeedError, Optional<Versioned>> result) {
        if (result.isLeft()) {
            return new LedgerAnswer.Unavailable();
        }
        Optional<Versioned> found = result.get();
        if (found.isEmpty()) {
            return new LedgerAnswer.Found(Optional.empty());
        }
        long revision = found.get().revision();
        return LedgerJson.read(key, found.get().content())
                .fold(
                        fault -> new LedgerAnswer.Unreadable(fault.message()),
                        ledger ->
                                new LedgerAnswer.Found(
                                        Optional.of(new VersionedLedger(revision, ledger))));
    }

    private static LedgerAnswer toWriteAnswer(Either<FeedError, Long> result) {
        if (result.isRight()) {
            return new LedgerAnswer.Written(result.get());
        }
        return switch (result.getLeft()) {
            case CONFLICT -> new LedgerAnswer.Conflicted(Optional.empty());
            case TURNED_AWAY -> new LedgerAnswer.Unavailable();
            case UNREACHABLE, HISTORY_GONE, BAD_ANSWER, OUTDATED -> new LedgerAnswer.Uncertain();
        };
    }
}
