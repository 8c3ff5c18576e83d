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

/** Tests the client against a simulated platform with each kind of fault. */
class HttpObjectStoreTest {

    private static final String UNUSED_ADDRESS = "127.0.0.1:1";
    private static final int NEVER_ANSWERED_MILLIS = 600_000;

    private final StoreFixture mFixture = new StoreFixture();
    private final HttpObjectStore mStore = mFixture.store();

    @AfterTry
    void close() {
        mFixture.close();
    }

    @Example
    void onlyOneOfConflictingWritesSucceeds() {
        assertThat(write(mStore, ObjectStore.ABSENT, "first").get()).isEqualTo(1);
        assertThat(write(mStore, 1, "second").get()).isEqualTo(2);
        PlatformError error = write(mStore, 1, "third").getLeft();
        assertThat(error).isInstanceOf(PlatformError.Conflict.class);
        StoredObject current = ((PlatformError.Conflict) error).current().orElseThrow();
        assertThat(current.version()).isEqualTo(2);
        assertThat(current.value()).isEqualTo(bytes("second"));
    }

    @Example
    void readsReturnExistingObjectsOnly() {
        assertThat(await(mStore.read(KEY)).get()).isEmpty();
        write(mStore, ObjectStore.ABSENT, "first");
        assertThat(await(mStore.read(KEY)).get().orElseThrow().value()).isEqualTo(bytes("first"));
        assertThat(await(mStore.delete(KEY, 7)).getLeft())
                .isInstanceOf(PlatformError.Conflict.class);
        assertThat(await(mStore.delete(KEY, 1)).isRight()).isTrue();
        assertThat(await(mStore.read(KEY)).get()).isEmpty();
    }

    @Example
    void longListsAreCompleteAndOrdered() {
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

    /**
     * A call that times out before its first byte is sent ends as {@link PlatformError.Away}, so
     * the timeout is doubled until a write reaches the platform.
     */
    @Example
    void unansweredWritesAreUncertainAndReadsTimeOut() {
        mFixture.state().setFaults(PlatformFaults.delay(NEVER_ANSWERED_MILLIS));
        Duration timeout = Duration.ofMillis(250);
        boolean uncertain = writeEndsUncertain(timeout);
        while (mFixture.state().read("ledgers", KEY.name()).isEmpty()) {
            timeout = timeout.multipliedBy(2);
            assertThat(timeout).isLessThan(Duration.ofMinutes(5));
            uncertain |= writeEndsUncertain(timeout);
        }
        assertThat(uncertain).isTrue();
        assertThat(await(storeWithTimeout(Duration.ofMillis(250)).read(KEY)).getLeft())
                .isInstanceOf(PlatformError.Away.class);
    }

    @Example
    void refusedWritesAreUnavailableAndHaveNoEffect() {
        mFixture.state().setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        assertThat(write(mStore, ObjectStore.ABSENT, "first").getLeft())
                .isInstanceOf(PlatformError.Away.class);
        assertThat(mFixture.state().read("ledgers", KEY.name())).isEmpty();
    }

    @Example
    void writesThatWereNeverSentAreUnavailable() {
        assertThat(write(mFixture.store(100, UNUSED_ADDRESS), 0, "first").getLeft())
                .isInstanceOf(PlatformError.Away.class);
    }

    @Example
    void callsFallBackToNextAddress() {
        HttpObjectStore store = mFixture.store(100, UNUSED_ADDRESS, mFixture.server().address());
        assertThat(write(store, ObjectStore.ABSENT, "first").get()).isEqualTo(1);
        assertThat(await(store.read(KEY)).get()).isPresent();
    }

    @Example
    void readsAreRetried() {
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
    void outageSuspendsCallsUntilPlatformRecovers() {
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
        int overBudget = 0;
        for (int call = 0; call < 40; call++) {
            Either<PlatformError, Optional<StoredObject>> read = await(store.read(KEY));
            overBudget +=
                    read.isLeft() && read.getLeft() instanceof PlatformError.OverBudget ? 1 : 0;
        }
        assertThat(overBudget).isEqualTo(37);
        assertThat(mFixture.state().counts().of(PlatformCall.READ)).isEqualTo(40 - overBudget);
        assertThat(write(store, ObjectStore.ABSENT, "first").isRight()).isTrue();
    }

    @Example
    void watchesReportChangesDespiteLag() {
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
    void watchesEndAtTheirTimeout() {
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
    void closingEndsOpenCalls() {
        CompletableFuture<Either<PlatformError, Optional<StoredObject>>> watch =
                mStore.watch(KEY, 0, Duration.ofSeconds(50));
        while (mFixture.state().counts().of(PlatformCall.WATCH) == 0) {
            Thread.onSpinWait();
        }
        mStore.close();
        assertThat(await(watch).getLeft()).isInstanceOf(PlatformError.Away.class);
        assertThat(await(mStore.read(KEY)).isLeft()).isTrue();
    }

    private HttpObjectStore storeWithTimeout(Duration callTimeout) {
        return mFixture.store(
                StoreFixture.settings(
                        StoreFixture.BUDGET, 1, callTimeout, mFixture.server().address()),
                new SystemTimeSource());
    }

    /** Determines whether an unanswered write ends as uncertain; otherwise it was never sent. */
    private boolean writeEndsUncertain(Duration callTimeout) {
        PlatformError error =
                write(storeWithTimeout(callTimeout), ObjectStore.ABSENT, "first").getLeft();
        assertThat(error).isInstanceOfAny(PlatformError.Uncertain.class, PlatformError.Away.class);
        return error instanceof PlatformError.Uncertain;
    }

    private static Either<PlatformError, Long> write(
            ObjectStore store, long expected, String value) {
        return await(store.write(KEY, expected, bytes(value)));
    }
}
