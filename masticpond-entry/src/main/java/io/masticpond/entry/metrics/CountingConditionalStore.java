package io.masticpond.entry.metrics;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.entry.metrics.StoreCallCounts.Kind;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.FeedError;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * {@link ConditionalStore} decorator that counts the calls about ledgers when their results are
 * received. Control thread only.
 */
final class CountingConditionalStore implements ConditionalStore {

    private final ConditionalStore mNext;
    private final StoreCallCounts mCounts;

    private CountingConditionalStore(ConditionalStore next, StoreCallCounts counts) {
        mNext = next;
        mCounts = counts;
    }

    /**
     * Creates the decorator. A factory method, since a caller that invoked the constructor would
     * load the {@code ConditionalStore} type at each start.
     */
    static ConditionalStore of(ConditionalStore next, StoreCallCounts counts) {
        return new CountingConditionalStore(next, counts);
    }

    @Override
    public void read(String name, Consumer<Either<FeedError, Optional<Versioned>>> result) {
        mNext.read(name, mCounts.counting(Kind.READ, result));
    }

    @Override
    public void write(
            String name,
            long expectedRevision,
            JsonNode content,
            Consumer<Either<FeedError, Long>> result) {
        mNext.write(name, expectedRevision, content, mCounts.counting(Kind.UPDATE, result));
    }
}
