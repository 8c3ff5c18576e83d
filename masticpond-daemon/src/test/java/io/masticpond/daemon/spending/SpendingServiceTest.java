package io.masticpond.daemon.spending;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.configuration.ShiftSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.spending.AllotmentPolicy;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.platform.ObjectKey;
import io.masticpond.daemon.platform.ObjectKind;
import io.masticpond.daemon.platform.StoredObject;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.LocalTime;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/**
 * Tests the service with an in-memory store: lost answers, an outage, a corrupted ledger, a planned
 * stop.
 */
class SpendingServiceTest {

    private static final ServiceId SERVICE = new ServiceId("booking");
    private static final long CAP = 1_000_000;
    private static final long PRICE = 100;
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final FakeObjectStore mStore = new FakeObjectStore();
    private final TimeSource mTimeSource = new NoonTimeSource();
    private final EventLoop mSteeringLoop = new EventLoop("steering", 64, mTimeSource);
    private final SpendingService mSpending =
            new SpendingService(
                    mSteeringLoop,
                    new PlatformLedgers(mStore, new LedgerCodec()),
                    Incarnation.parse("perth-1@1700000000000"),
                    AllotmentPolicy.DEFAULT,
                    mTimeSource,
                    Timeline.NONE);

    @AfterTry
    void close() {
        mSteeringLoop.close();
        mSpending.close();
    }

    private void start() {
        mSteeringLoop.start();
        mSpending.start();
        mSpending.configure(configuration());
    }

    private static Configuration configuration() {
        ShiftSpecification shift =
                new ShiftSpecification("day", LocalTime.MIDNIGHT, LocalTime.MIDNIGHT, CAP);
        SpendingSpecification spending =
                new SpendingSpecification("Australia/Perth", List.of(shift));
        ServiceSpecification service =
                new ServiceSpecification(
                        SERVICE, 1_000, List.of(), List.of(), List.of(), Optional.of(spending));
        return new Configuration(
                new ConfigurationVersion(1),
                Optional.of(new PlanId("plan")),
                new ConfigurationContent(
                        List.of(), List.of(), List.of(service), List.of(), List.of()));
    }

    private Either<Refusal, Charge> charge() {
        CompletableFuture<Either<Refusal, Charge>> charge = new CompletableFuture<>();
        mSteeringLoop.put(() -> charge.complete(mSpending.gate().charge(SERVICE, PRICE)));
        return charge.orTimeout(60, TimeUnit.SECONDS).join();
    }

    private static void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - start).isLessThan(TIMEOUT_NANOS);
            Thread.yield();
        }
    }

    private long available() {
        return mSpending.views().stream().mapToLong(SpendingView::availableMicros).sum();
    }

    private long allotted() {
        return mSpending.views().stream().mapToLong(SpendingView::allottedMicros).sum();
    }

    @Example
    void chargesSucceedDespiteLostAnswers() {
        mStore.mAnswersToLose.set(3);
        start();
        await(() -> available() > 0);
        await(() -> charge().isRight());
        assertThat(mStore.mLostAnswers.get()).isPositive();
        await(() -> mSpending.views().stream().anyMatch(view -> view.spentMicros() == PRICE));
        await(() -> allotted() == available() + PRICE);
    }

    @Example
    void spendsOnlyHeldAllotmentWhilePlatformIsUnavailable() {
        start();
        await(() -> available() > 0);
        long held = available();
        mStore.mUnavailable = true;
        long spent = 0;
        while (charge().isRight()) {
            spent += PRICE;
        }
        assertThat(spent).isEqualTo(held / PRICE * PRICE);
        mStore.mUnavailable = false;
        await(() -> charge().isRight());
    }

    @Example
    void doesNotTakeAllotmentsFromCorruptedLedgers() {
        start();
        await(() -> available() > 0);
        long held = available();
        String name = mSpending.views().get(0).key().objectName();
        ObjectKey key = new ObjectKey(ObjectKind.LEDGER, name);
        byte[] corrupted = "{}".getBytes(StandardCharsets.UTF_8);
        mStore.mObjects.put(key.toString(), new StoredObject(key, 99, corrupted));
        long spent = 0;
        while (charge().isRight()) {
            spent += PRICE;
        }
        assertThat(spent).isEqualTo(held / PRICE * PRICE);
        await(() -> charge().getLeft().detail().contains("cannot be used"));
    }

    @Example
    void plannedStopReturnsRemainingAllotment() {
        start();
        await(() -> available() > 0);
        assertThat(charge().isRight()).isTrue();
        mSpending.stop().orTimeout(60, TimeUnit.SECONDS).join();
        assertThat(available()).isZero();
        StoredObject stored = mStore.mObjects.values().iterator().next();
        assertThat(new String(stored.value(), StandardCharsets.UTF_8))
                .contains("\"allottedMicros\":" + PRICE + ",");
    }

    /** Time source whose monotonic time is real and whose wall clock always reads noon in Perth. */
    private static final class NoonTimeSource implements TimeSource {

        @Override
        public Instant instant() {
            return Instant.parse("2026-12-02T04:00:00Z");
        }

        @Override
        public long monotonicNanos() {
            return System.nanoTime();
        }
    }
}
