package io.masticpond.entry.wiring;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.entry.replica.Category;
import io.masticpond.entry.replica.FeedError;
import io.masticpond.entry.replica.FeedResult;
import io.masticpond.entry.replica.StoreFeed;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/** Store that answers no call. */
record UnreachableStore(EventLoop control) implements StoreFeed {

    @Override
    public void list(
            Category category, Duration timeout, Consumer<Either<FeedError, FeedResult>> result) {
        fail(result);
    }

    @Override
    public Runnable watch(
            Category category,
            long afterRevision,
            Duration wait,
            Consumer<Either<FeedError, FeedResult>> result) {
        fail(result);
        return () -> {};
    }

    @Override
    public void put(
            Category category,
            String name,
            JsonNode content,
            Consumer<Either<FeedError, Void>> result) {
        fail(result);
    }

    @Override
    public void delete(Category category, String name, Consumer<Either<FeedError, Void>> result) {
        fail(result);
    }

    private <T> void fail(Consumer<Either<FeedError, T>> result) {
        control.execute(() -> result.accept(Either.left(FeedError.UNREACHABLE)));
    }
}
