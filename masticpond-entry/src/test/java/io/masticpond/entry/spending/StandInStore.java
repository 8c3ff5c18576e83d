package io.masticpond.entry.spending;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.FeedError;
import io.masticpond.entry.replica.ManualScheduler;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Stand-in for a store of conditional updates whose calls may be refused, lost or delayed. */
final class StandInStore {

    private static final Duration ANSWER_DELAY = Duration.ofMillis(5);
    private static final Duration LATE_DELAY = Duration.ofSeconds(3);

    private final ManualScheduler mLoop;
    private final Map<String, ConditionalStore.Versioned> mObjects = new HashMap<>();
    private long mRevision;

    /** Outcome of a write. */
    enum CallDisposition {
        ANSWERED,
        LOST_AFTER_EFFECT,
        LOST_BEFORE_EFFECT,
        LOST_AND_LATE
    }

    StandInStore(ManualScheduler loop) {
        mLoop = loop;
    }

    Optional<ConditionalStore.Versioned> object(String name) {
        return Optional.ofNullable(mObjects.get(name));
    }

    private Either<FeedError, Long> apply(String name, long expected, JsonNode content) {
        long revision = object(name).map(ConditionalStore.Versioned::revision).orElse(0L);
        if (revision != expected) {
            return Either.left(FeedError.CONFLICT);
        }
        mRevision++;
        mObjects.put(name, new ConditionalStore.Versioned(mRevision, content.deepCopy()));
        return Either.right(mRevision);
    }

    /** Access of one instance to the store. */
    final class Access implements ConditionalStore {

        private Optional<FeedError> mRefusal = Optional.empty();
        private Supplier<CallDisposition> mDispositions = () -> CallDisposition.ANSWERED;
        private int mCalls;

        /** Fails every further call with an error and without effect. */
        void refuse(FeedError error) {
            mRefusal = Optional.of(error);
        }

        void serve() {
            mRefusal = Optional.empty();
        }

        void writes(Supplier<CallDisposition> dispositions) {
            mDispositions = dispositions;
        }

        int calls() {
            return mCalls;
        }

        @Override
        public void read(String name, Consumer<Either<FeedError, Optional<Versioned>>> result) {
            mCalls++;
            mLoop.schedule(
                    ANSWER_DELAY,
                    () ->
                            result.accept(
                                    mRefusal.isPresent()
                                            ? Either.left(mRefusal.get())
                                            : Either.right(object(name))));
        }

        @Override
        public void write(
                String name,
                long expectedRevision,
                JsonNode content,
                Consumer<Either<FeedError, Long>> result) {
            mCalls++;
            mLoop.schedule(
                    ANSWER_DELAY, () -> result.accept(outcome(name, expectedRevision, content)));
        }

        private Either<FeedError, Long> outcome(String name, long expected, JsonNode content) {
            if (mRefusal.isPresent()) {
                return Either.left(mRefusal.get());
            }
            switch (mDispositions.get()) {
                case LOST_AFTER_EFFECT -> apply(name, expected, content);
                case LOST_AND_LATE ->
                        mLoop.schedule(LATE_DELAY, () -> apply(name, expected, content));
                case ANSWERED -> {
                    return apply(name, expected, content);
                }
                default -> {}
            }
            return Either.left(FeedError.UNREACHABLE);
        }
    }
}
