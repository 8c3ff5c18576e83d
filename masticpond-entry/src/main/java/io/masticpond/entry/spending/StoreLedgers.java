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
 * Reads and changes ledgers in the store, on the control thread, and turns what the store says into
 * answers about ledgers. What is not known of a write is never taken for a failure.
 */
final class StoreLedgers implements LedgerSink {

    private final ConditionalStore mStore;
    private final String mPrefix;
    private final Executor mControl;
    private final BiConsumer<LedgerKey, LedgerAnswer> mAnswers;

    /**
     * Makes the access to ledgers.
     *
     * @param store the store
     * @param prefix what their names begin with
     * @param control runs tasks on the control thread
     * @param answers hears each answer once, on the control thread
     */
    StoreLedgers(
            ConditionalStore store,
            String prefix,
            Executor control,
            BiConsumer<LedgerKey, LedgerAnswer> answers) {
        mStore = store;
        mPrefix = prefix;
        mControl = control;
        mAnswers = answers;
    }

    @Override
    public void read(LedgerKey key) {
        mControl.execute(
                () -> mStore.read(name(key), found -> mAnswers.accept(key, found(key, found))));
    }

    @Override
    public void write(LedgerChange change) {
        LedgerKey key = change.key();
        mControl.execute(
                () ->
                        mStore.write(
                                name(key),
                                change.expectedVersion(),
                                LedgerJson.write(change.ledger()),
                                result -> mAnswers.accept(key, written(result))));
    }

    private String name(LedgerKey key) {
        return mPrefix + "." + key.objectName();
    }

    private static LedgerAnswer found(
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

    private static LedgerAnswer written(Either<FeedError, Long> result) {
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
