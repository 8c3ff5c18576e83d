package io.masticpond.entry.metrics;

import io.masticpond.entry.replica.FeedError;
import io.vavr.control.Either;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Counters of calls to the platform's store by kind and result. Safe for use by multiple threads.
 */
final class StoreCallCounts {

    /** Result label of a successful call. */
    static final String DONE = "done";

    private final Map<Kind, ResultCounts> mCounts = new EnumMap<>(Kind.class);

    /** Kind of a call. */
    enum Kind {
        LIST,
        WATCH,
        PUT,
        DELETE,
        READ,
        UPDATE
    }

    StoreCallCounts() {
        for (Kind kind : Kind.values()) {
            mCounts.put(kind, new ResultCounts());
        }
    }

    void ended(Kind kind, Either<FeedError, ?> result) {
        ResultCounts counts = mCounts.get(kind);
        (result.isRight() ? counts.mDone : counts.mFailed.get(result.getLeft())).getAndIncrement();
    }

    /** Decorates the consumer of a result such that the call is counted first. */
    <T> Consumer<Either<FeedError, T>> counting(Kind kind, Consumer<Either<FeedError, T>> result) {
        return outcome -> {
            ended(kind, outcome);
            result.accept(outcome);
        };
    }

    long done(Kind kind) {
        return mCounts.get(kind).mDone.get();
    }

    long failed(Kind kind, FeedError error) {
        return mCounts.get(kind).mFailed.get(error).get();
    }

    /** Counters of the calls of one kind. */
    private static final class ResultCounts {

        private final AtomicLong mDone = new AtomicLong();
        private final Map<FeedError, AtomicLong> mFailed = new EnumMap<>(FeedError.class);

        ResultCounts() {
            for (FeedError error : FeedError.values()) {
                mFailed.put(error, new AtomicLong());
            }
        }
    }
}
