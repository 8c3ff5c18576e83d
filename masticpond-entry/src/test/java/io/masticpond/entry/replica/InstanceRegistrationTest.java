package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;

/** Tests that the entry of an instance is written again in time, and not after its deletion. */
class InstanceRegistrationTest implements StoreFeed {

    private static final Either<FeedError, Void> FAILURE = Either.left(FeedError.TURNED_AWAY);
    private static final Either<FeedError, Void> SUCCESS = Either.right(null);

    /** Write that the store has not answered yet. */
    private record PendingWrite(long era, Consumer<Either<FeedError, Void>> result) {}

    private final ManualScheduler mScheduler = new ManualScheduler();
    private final List<PendingWrite> mPending = new ArrayList<>();
    private final List<String> mEvents = new ArrayList<>();
    private int mPuts;
    private Long mStoredEra;
    private final InstanceRegistration mRegistration =
            new InstanceRegistration(
                    new ReplicaContext(
                            this,
                            mScheduler,
                            mScheduler.time(),
                            RandomSource.SPLIT_MIX_64.create(3L),
                            ReplicaSettings.DEFAULT),
                    "i-1",
                    JsonNodeFactory.instance::numberNode,
                    listed -> {});

    /**
     * Guards against a long first delay after a loss of the store, because failures before an
     * earlier success still count.
     */
    @Example
    void firstRetryAfterSuccessIsAsSoonAsAtTheStart() {
        mRegistration.register(0);
        for (int failure = 0; failure < 8; failure++) {
            answer(FAILURE);
            mScheduler.pass(Duration.ofSeconds(5));
        }
        answer(SUCCESS);
        for (int era = 1; era <= 8; era++) {
            mRegistration.register(era);
            answer(FAILURE);
            mScheduler.pass(Duration.ofSeconds(2));
            assertThat(mPending).as("retried within 2 s in era %d", era).hasSize(1);
            answer(SUCCESS);
        }
    }

    /** Guards against a second series of writes, which doubles the load on a store in trouble. */
    @Example
    void registrationDuringRetryStartsNoSecondSeries() {
        mRegistration.register(0);
        answer(FAILURE);
        mRegistration.register(1);
        answer(FAILURE);
        int puts = mPuts;
        for (int second = 0; second < 60; second++) {
            mScheduler.pass(Duration.ofSeconds(1));
            assertThat(mPending).hasSizeLessThanOrEqualTo(1);
            answerAll(FAILURE);
        }
        assertThat(mPuts - puts).isBetween(9, 22);
        mScheduler.pass(Duration.ofSeconds(5));
        answer(SUCCESS);
        assertThat(mStoredEra).isEqualTo(1);
    }

    /**
     * Guards against two writes at the same time, of which the store may apply the older one last.
     */
    @Example
    void registrationDuringWriteIsWrittenAfterIt() {
        mRegistration.register(0);
        mRegistration.register(1);
        assertThat(mPending).hasSize(1);
        answer(SUCCESS);
        answer(SUCCESS);
        assertThat(mStoredEra).isEqualTo(1);
        mScheduler.pass(Duration.ofMinutes(1));
        assertThat(mPending).isEmpty();
    }

    /**
     * Guards against an entry that remains in the store after a planned stop, because a write in
     * flight is applied after the deletion.
     */
    @Example
    void stopDeletesEntryAfterWriteInFlight() {
        mRegistration.register(0);
        mRegistration.stop(() -> mEvents.add("done"));
        assertThat(mEvents).isEmpty();
        answer(SUCCESS);
        assertThat(mEvents).containsExactly("put", "delete", "done");
        assertThat(mStoredEra).isNull();
    }

    /** Guards against a planned stop that waits for a write that has failed. */
    @Example
    void stopDeletesEntryAfterFailedWrite() {
        mRegistration.register(0);
        mRegistration.stop(() -> mEvents.add("done"));
        answer(FAILURE);
        assertThat(mEvents).containsExactly("delete", "done");
        mScheduler.pass(Duration.ofMinutes(1));
        assertThat(mPending).isEmpty();
    }

    /** Answers the oldest write that is pending. */
    private void answer(Either<FeedError, Void> result) {
        PendingWrite write = mPending.remove(0);
        if (result.isRight()) {
            mStoredEra = write.era();
            mEvents.add("put");
        }
        write.result().accept(result);
    }

    private void answerAll(Either<FeedError, Void> result) {
        while (!mPending.isEmpty()) {
            answer(result);
        }
    }

    @Override
    public void put(
            Category category,
            String name,
            JsonNode content,
            Consumer<Either<FeedError, Void>> result) {
        mPuts++;
        mPending.add(new PendingWrite(content.asLong(), result));
    }

    @Override
    public void delete(Category category, String name, Consumer<Either<FeedError, Void>> result) {
        mStoredEra = null;
        mEvents.add("delete");
        result.accept(SUCCESS);
    }

    @Override
    public void list(
            Category category, Duration timeout, Consumer<Either<FeedError, FeedResult>> result) {
        throw new UnsupportedOperationException("No list is expected.");
    }

    @Override
    public Runnable watch(
            Category category,
            long afterRevision,
            Duration wait,
            Consumer<Either<FeedError, FeedResult>> result) {
        throw new UnsupportedOperationException("No watch is expected.");
    }
}
