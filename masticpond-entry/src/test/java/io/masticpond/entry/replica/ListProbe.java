package io.masticpond.entry.replica;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * {@link StoreProbe} that lists the smallest category, for stores that offer no cheaper call.
 *
 * @since 0.2
 */
public final class ListProbe implements StoreProbe {

    private final StoreFeed mFeed;

    /**
     * Creates a probe.
     *
     * @param feed the store
     */
    public ListProbe(StoreFeed feed) {
        mFeed = feed;
    }

    @Override
    public void probe(Duration timeout, Consumer<Either<FeedError, Void>> result) {
        mFeed.list(
                Category.EVACUATIONS,
                timeout,
                listed -> result.accept(listed.map(ignored -> null)));
    }

    @Override
    public boolean isCheap() {
        return false;
    }
}
