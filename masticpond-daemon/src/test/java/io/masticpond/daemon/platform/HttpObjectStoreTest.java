package io.masticpond.daemon.platform;

import static io.masticpond.daemon.platform.StoreFixture.KEY;
import static io.masticpond.daemon.platform.StoreFixture.await;
import static io.masticpond.daemon.platform.StoreFixture.bytes;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.testing.platform.PlatformCall;
import io.masticpond.testing.platform.PlatformCallDisposition;
import io.masticpond.testing.platform.PlatformFaults;
import io.masticpond.testing.platform.PlatformInstance;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Calls a stand-in platform that fails in each of its ways. */
class HttpObjectStoreTest {

    private static final String NOBODY = "127.0.0.1:1";
    private static final int NEVER_MILLIS = 600_000;

    private final StoreFixture mFixture = new StoreFixture();
    private final HttpObjectStore mStore = mFixture.store();

    @AfterTry
    void close() {
        mFixture.close();
    }

    @Example
    void racingWritersOverOneVersionHaveOneWinner() {
        assertThat(write(mStore, ObjectStore.ABSENT, "first").get()).isEqualTo(1);
        assertThat(write(mStore, 1, "second").get()).isEqualTo(2);
        PlatformError error = write(mStore, 1, "third").getLeft();
        assertThat(error).isInstanceOf(PlatformError.Conflict.class);
        StoredObject current = ((PlatformError.Conflict) error).current().orElseThrow();
        assertThat(current.version()).isEqualTo(2);
        assertThat(current.value()).isEqualTo(bytes("second"));
    }

    @Example
    void readsFindWhatIsThereAndNothingElse() {
        assertThat(await(mStore.read(KEY)).get()).isEmpty();
        write(mStore, ObjectStore.ABSENT, "first");
        assertThat(await(mStore.read(KEY)).get().orElseThrow().value()).isEqualTo(bytes("first"));
        assertThat(await(mStore.delete(KEY, 7)).getLeft())
                .isInstanceOf(PlatformError.Conflict.class);
        assertThat(await(mStore.delete(KEY, 1)).isRight()).isTrue();
        assertThat(await(mStore.read(KEY)).get()).isEmpty();
    }

    @Example
    void longListsComeWholeAndInOrder() {
        for (int number = 0; number < 2_500; number++) {
            String name = "batch.%05d".formatted(number);
            mFixture.state().write("claims", name, 0, bytes("claim"));
        }
        mFixture.state().write("claims", "other", 0, bytes("claim"));
        List<String> names = await(mStore.list(ObjectKind.CLAIM, "batch.")).get();
        assertThat(names).hasSize(2_500).isSorted().doesNotContain("other");
    }

    @Example
    void lostAnswersToWritesAreUncertain() {
        mFixture.state().setFaults(PlatformFaults.lostAnswers(1));
        assertThat(write(mStore, ObjectStore.ABSENT, "first").getLeft())
                .isInstanceOf(PlatformError.Uncertain.class);
        assertThat(mFixture.state().counts().of(PlatformCall.WRITE)).isEqualTo(1);
        assertThat(await(mStore.read(KEY)).get().orElseThrow().version()).isEqualTo(1);
    }

    /** A call that ends before its first byte went out is away; so the time grows till one goes. */
    @Example
    void slowAnswersToWritesAreUncertainAndMakeReadsGiveUp() {
        mFixture.state().setFaults(PlatformFaults.delay(NEVER_MILLIS));
        Duration timeout = Duration.ofMillis(250);
        boolean uncertain = writeWithin(timeout);
        while (mFixture.state().read("ledgers", KEY.name()).isEmpty()) {
            timeout = timeout.multipliedBy(2);
            assertThat(timeout).isLessThan(Duration.ofMinutes(5));
            uncertain |= writeWithin(timeout);
        }
        assertThat(uncertain).isTrue();
        assertThat(await(within(Duration.ofMillis(250)).read(KEY)).getLeft())
                .isInstanceOf(PlatformError.Away.class);
    }

    @Example
    void refusedWritesAreAwayAndHaveNoEffect() {
        mFixture.state().setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        assertThat(write(mStore, ObjectStore.ABSENT, "first").getLeft())
                .isInstanceOf(PlatformError.Away.class);
        assertThat(mFixture.state().read("ledgers", KEY.name())).isEmpty();
    }

    @Example
    void writesThatWereNeverSentAreAway() {
        assertThat(write(mFixture.store(100, NOBODY), 0, "first").getLeft())
                .isInstanceOf(PlatformError.Away.class);
    }

    @Example
    void callsGoOnToTheNextAddress() {
        HttpObjectStore store = mFixture.store(100, NOBODY, mFixture.server().address());
        assertThat(write(store, ObjectStore.ABSENT, "first").get()).isEqualTo(1);
        assertThat(await(store.read(KEY)).get()).isPresent();
    }

    @Example
    void readsAreTriedAgain() {
        write(mStore, ObjectStore.ABSENT, "first");
        mFixture.state().setFaults(new PlatformFaults(null, 0.3, 0, 0, 0, 0, 0));
        int answered = 0;
        for (int call = 0; call < 8; call++) {
            answered += await(mStore.read(KEY)).isRight() ? 1 : 0;
        }
        assertThat(answered).isGreaterThan(4);
        assertThat(mFixture.state().counts().of(PlatformCall.READ)).isGreaterThan(8);
    }

    @Example
    void anOutageStopsCallsUntilThePlatformIsBack() {
        ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
        HttpObjectStore store =
                mFixture.store(
                        StoreFixture.settings(
                                StoreFixture.BUDGET,
                                1,
                                Duration.ofMinutes(1),
                                mFixture.server().address()),
                        time);
        mFixture.state().setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        for (int call = 0; call < 50; call++) {
            assertThat(await(store.read(KEY)).getLeft()).isInstanceOf(PlatformError.Away.class);
        }
        assertThat(mFixture.state().counts().of(PlatformCall.READ)).isEqualTo(5);
        mFixture.state().setFaults(PlatformFaults.NONE);
        assertThat(await(store.read(KEY)).isLeft()).isTrue();
        time.advance(Duration.ofMillis(200));
        assertThat(await(store.read(KEY)).isRight()).isTrue();
    }

    @Example
    void callsOverTheBudgetAreNotMade() {
        HttpObjectStore store =
                mFixture.store(
                        StoreFixture.settings(4, mFixture.server().address()),
                        new ManualTimeSource(Instant.EPOCH));
        int over = 0;
        for (int call = 0; call < 40; call++) {
            Either<PlatformError, Optional<StoredObject>> read = await(store.read(KEY));
            over += read.isLeft() && read.getLeft() instanceof PlatformError.OverBudget ? 1 : 0;
        }
        assertThat(over).isEqualTo(37);
        assertThat(mFixture.state().counts().of(PlatformCall.READ)).isEqualTo(40 - over);
        assertThat(write(store, ObjectStore.ABSENT, "first").isRight()).isTrue();
    }

    @Example
    void watchesTellOfChangesEvenIfTheyLag() {
        write(mStore, ObjectStore.ABSENT, "first");
        mFixture.state().setFaults(PlatformFaults.lag(100, 0));
        CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch =
                mStore.watch(KEY, 1, Duration.ofSeconds(60));
        while (mFixture.state().counts().of(PlatformCall.WATCH) == 0) {
            Thread.onSpinWait();
        }
        write(mStore, 1, "second");
        assertThat(await(watch).get().orElseThrow().version()).isEqualTo(2);
        assertThat(mFixture.state().counts().of(PlatformCall.WATCH)).isEqualTo(1);
    }

    @Example
    void watchesEndWhenTheirTimeIsUp() {
        assertThat(await(mStore.watch(KEY, 0, Duration.ofMillis(20))).get()).isEmpty();
    }

    @Example
    void instancesAreListed() {
        mFixture.state().putInstance(new PlatformInstance("casa-1", "casa-a", "10.0.0.1:7", true));
        ListedInstance instance = await(mStore.instances()).get().get(0);
        assertThat(instance.id().value()).isEqualTo("casa-1");
        assertThat(instance.leaving()).isTrue();
    }

    @Example
    void closingEndsCallsThatWait() {
        CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch =
                mStore.watch(KEY, 0, Duration.ofSeconds(50));
        while (mFixture.state().counts().of(PlatformCall.WATCH) == 0) {
            Thread.onSpinWait();
        }
        mStore.close();
        assertThat(await(watch).getLeft()).isInstanceOf(PlatformError.Away.class);
        assertThat(await(mStore.read(KEY)).isLeft()).isTrue();
    }

    private HttpObjectStore within(Duration callTimeout) {
        return mFixture.store(
                StoreFixture.settings(
                        StoreFixture.BUDGET, 1, callTimeout, mFixture.server().address()),
                new SystemTimeSource());
    }

    /** Tells whether a write that is not answered ends as uncertain; else it was never sent. */
    private boolean writeWithin(Duration callTimeout) {
        PlatformError error = write(within(callTimeout), ObjectStore.ABSENT, "first").getLeft();
        assertThat(error).isInstanceOfAny(PlatformError.Uncertain.class, PlatformError.Away.class);
        return error instanceof PlatformError.Uncertain;
    }

    private static Either<PlatformError, Long> write(
            ObjectStore store, long expected, String value) {
        return await(store.write(KEY, expected, bytes(value)));
    }
}
