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

/**
 * Guards against busy loops of calls: stores that answer held watches at once, drop their history
 * repeatedly, cut watches or reject writes.
 */
class HostileStoreTest implements StoreFeed {

    private static final int MAXIMUM_CALLS = 120;

    private final ManualScheduler mScheduler = new ManualScheduler();
    private final List<String> mCalls = new ArrayList<>();
    private Duration mDelay = Duration.ofMillis(4);
    private Either<FeedError, FeedResult> mList = Either.right(new FeedResult(List.of(), 5));
    private Either<FeedError, FeedResult> mShortWatch = Either.right(new FeedResult(List.of(), 5));
    private Either<FeedError, FeedResult> mWatch = Either.right(new FeedResult(List.of(), 5));
    private Either<FeedError, Void> mWrite = Either.right(null);

    @Example
    void pausesWhenWatchesAreNotHeld() {
        run();
        assertThat(mCalls.size()).isBetween(3, 3 * MAXIMUM_CALLS);
    }

    @Example
    void pausesWhenTheHistoryIsDroppedRepeatedly() {
        mWatch = Either.left(FeedError.HISTORY_GONE);
        mShortWatch = mWatch;
        run();
        assertThat(mCalls.size()).isBetween(3, 3 * MAXIMUM_CALLS);
    }

    @Example
    void pausesWhenOnlyHeldWatchesAreCut() {
        mWatch = Either.left(FeedError.UNREACHABLE);
        run();
        assertThat(mCalls.size()).isBetween(3, 3 * MAXIMUM_CALLS);
    }

    @Example
    void acceptsSlowFirstAnswersWithoutRepeatingCalls() {
        mDelay = Duration.ofMillis(900);
        FleetReplica replica =
                new FleetReplica(
                        context(),
                        new ListProbe(this),
                        new FakeTranslator(),
                        (snapshot, source) -> {});
        replica.start();
        mScheduler.pass(Duration.ofMillis(1_700));
        // One for each category, and one that probes the store.
        assertThat(mCalls.stream().filter("list"::equals)).hasSize(4);
        assertThat(replica.status().categories()).allMatch(CategoryStatus::listed);
        assertThat(replica.status().storeLost()).isFalse();
    }

    @Example
    void retriesItsRegistrationUntilItSucceedsAndDeletesItOnStop() {
        mWrite = Either.left(FeedError.TURNED_AWAY);
        mList = Either.left(FeedError.TURNED_AWAY);
        List<List<StoredDocument>> received = new ArrayList<>();
        InstanceRegistration registration =
                new InstanceRegistration(
                        context(),
                        "i-1",
                        era -> JsonNodeFactory.instance.objectNode().put("era", era),
                        received::add);
        registration.start();
        registration.register(0);
        mScheduler.pass(Duration.ofSeconds(20));
        assertThat(mCalls.stream().filter("put i-1"::equals).count()).isBetween(4L, 12L);
        assertThat(received).isEmpty();
        mWrite = Either.right(null);
        mList = Either.right(new FeedResult(List.of(), 5));
        mScheduler.pass(Duration.ofSeconds(6));
        int before = mCalls.size();
        mScheduler.pass(Duration.ofSeconds(20));
        assertThat(mCalls).hasSize(before);
        assertThat(received).hasSize(1);
        List<String> done = new ArrayList<>();
        registration.stop(() -> done.add("done"));
        mScheduler.pass(mDelay);
        assertThat(mCalls).last().isEqualTo("delete i-1");
        assertThat(done).hasSize(1);
    }

    /** Runs a replica for ten seconds. */
    private void run() {
        FleetReplica replica =
                new FleetReplica(
                        context(),
                        new ListProbe(this),
                        new FakeTranslator(),
                        (snapshot, source) -> {});
        replica.start();
        mScheduler.pass(Duration.ofSeconds(10));
        replica.stop();
        int atStop = mCalls.size();
        mScheduler.pass(Duration.ofSeconds(30));
        assertThat(mCalls).hasSize(atStop);
    }

    private ReplicaContext context() {
        return new ReplicaContext(
                this,
                mScheduler,
                mScheduler.time(),
                RandomSource.SPLIT_MIX_64.create(3L),
                ReplicaSettings.DEFAULT);
    }

    private <T> void answer(String call, Consumer<T> result, T answer) {
        mCalls.add(call);
        mScheduler.schedule(mDelay, () -> result.accept(answer));
    }

    @Override
    public void list(
            Category category, Duration timeout, Consumer<Either<FeedError, FeedResult>> result) {
        answer("list", result, mList);
    }

    @Override
    public Runnable watch(
            Category category,
            long afterRevision,
            Duration wait,
            Consumer<Either<FeedError, FeedResult>> result) {
        answer("watch", result, wait.toMillis() < 1_000 ? mShortWatch : mWatch);
        return () -> {};
    }

    @Override
    public void put(
            Category category,
            String name,
            JsonNode content,
            Consumer<Either<FeedError, Void>> result) {
        answer("put " + name, result, mWrite);
    }

    @Override
    public void delete(Category category, String name, Consumer<Either<FeedError, Void>> result) {
        answer("delete " + name, result, mWrite);
    }
}
