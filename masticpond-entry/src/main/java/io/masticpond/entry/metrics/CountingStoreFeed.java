package io.masticpond.entry.metrics;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.entry.metrics.StoreCallCounts.Kind;
import io.masticpond.entry.replica.Category;
import io.masticpond.entry.replica.FeedError;
import io.masticpond.entry.replica.FeedResult;
import io.masticpond.entry.replica.StoreFeed;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * {@link StoreFeed} decorator that counts the calls to the platform's store when their results are
 * received. Control thread only.
 */
final class CountingStoreFeed implements StoreFeed {

    private final StoreFeed mNext;
    private final StoreCallCounts mCounts;

    CountingStoreFeed(StoreFeed next, StoreCallCounts counts) {
        mNext = next;
        mCounts = counts;
    }

    @Override
    public long era() {
        return mNext.era();
    }

    @Override
    public void list(
            Category category, Duration timeout, Consumer<Either<FeedError, FeedResult>> result) {
        mNext.list(category, timeout, mCounts.counting(Kind.LIST, result));
    }

    @Override
    public Runnable watch(
            Category category,
            long afterRevision,
            Duration wait,
            Consumer<Either<FeedError, FeedResult>> result) {
        return mNext.watch(category, afterRevision, wait, mCounts.counting(Kind.WATCH, result));
    }

    @Override
    public void put(
            Category category,
            String name,
            JsonNode content,
            Consumer<Either<FeedError, Void>> result) {
        mNext.put(category, name, content, mCounts.counting(Kind.PUT, result));
    }

    @Override
    public void delete(Category category, String name, Consumer<Either<FeedError, Void>> result) {
        mNext.delete(category, name, mCounts.counting(Kind.DELETE, result));
    }
}
