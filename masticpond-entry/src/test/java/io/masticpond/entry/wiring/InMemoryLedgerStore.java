package io.masticpond.entry.wiring;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.FeedError;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * In-memory ledger store that always answers at once. For the control thread only, except for
 * {@link #mAllotted}.
 */
final class InMemoryLedgerStore implements ConditionalStore {

    /** The sum of the allotments of all ledgers. */
    final AtomicLong mAllotted = new AtomicLong();

    private final Map<String, Versioned> mObjects = new HashMap<>();
    private long mRevision;

    @Override
    public void read(String name, Consumer<Either<FeedError, Optional<Versioned>>> result) {
        result.accept(Either.right(Optional.ofNullable(mObjects.get(name))));
    }

    @Override
    public void write(
            String name,
            long expectedRevision,
            JsonNode content,
            Consumer<Either<FeedError, Long>> result) {
        long revision = mObjects.containsKey(name) ? mObjects.get(name).revision() : 0;
        if (revision != expectedRevision) {
            result.accept(Either.left(FeedError.CONFLICT));
            return;
        }
        mRevision++;
        mObjects.put(name, new Versioned(mRevision, content));
        mAllotted.set(
                mObjects.values().stream()
                        .mapToLong(object -> object.content().path("allottedMicros").asLong())
                        .sum());
        result.accept(Either.right(mRevision));
    }
}
