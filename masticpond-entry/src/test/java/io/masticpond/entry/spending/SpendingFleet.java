package io.masticpond.entry.spending;

import io.masticpond.core.configuration.ShiftSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.replica.ManualScheduler;
import io.masticpond.entry.replica.Scheduler;
import io.masticpond.entry.request.SpendingRefusal;
import io.masticpond.entry.settings.SpendingSettings;
import io.masticpond.entry.settings.SpendingSettings.ServiceSpending;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Fixture of instances that spend under one cap. It counts what they spend independently of them,
 * by the accurate time.
 */
final class SpendingFleet {

    static final ServiceId SERVICE = new ServiceId("orders");
    static final ZoneId ZONE = new ZoneId("a-1");
    static final long PRICE = 100;
    static final Instant MORNING = Instant.parse("2026-12-02T06:00:00Z");
    static final Instant EVENING = Instant.parse("2026-12-02T14:00:00Z");
    static final Duration CLOCK_ERROR = Duration.ofMillis(500);
    static final Duration COVER = Duration.ofMinutes(15);
    static final Duration SHIFT = Duration.between(MORNING, EVENING);

    private static final RegionId REGION = new RegionId("a");
    private static final Duration SECOND = Duration.ofSeconds(1);

    final ManualTimeSource mTime = new ManualTimeSource(MORNING.plusSeconds(60));
    final ManualScheduler mLoop = new ManualScheduler(mTime);
    final StandInStore mStore = new StandInStore(mLoop);
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<Instant, Long> mSpent = new HashMap<>();
    private final long mCap;
    private long mIncarnation;

    SpendingFleet(long cap) {
        mCap = cap;
    }

    Node start(String name) {
        return start(name, Duration.ZERO);
    }

    Node start(String name, Duration clockError) {
        Node node = new Node(name, ++mIncarnation, clockError);
        mNodes.add(node);
        node.mService.start();
        return node;
    }

    /** Terminates an instance at once; whatever it holds in memory is lost. */
    void kill(Node node) {
        node.mIsTerminated = true;
        mNodes.remove(node);
    }

    List<Node> nodes() {
        return List.copyOf(mNodes);
    }

    void settle() {
        mLoop.pass(Duration.ofSeconds(30));
    }

    /** Has each instance charge the given number of attempts per second. */
    void demand(Duration duration, int perSecond) {
        Instant end = mTime.instant().plus(duration);
        while (mTime.instant().isBefore(end)) {
            mLoop.pass(SECOND);
            for (Node node : nodes()) {
                for (int attempt = 0; attempt < perSecond; attempt++) {
                    node.charge();
                }
            }
        }
    }

    long spent(Instant shiftStart) {
        return mSpent.getOrDefault(shiftStart, 0L);
    }

    long cap() {
        return mCap;
    }

    long allotted() {
        return mStore.object("spending.2026-12-02-morning.orders")
                .map(object -> object.content().path("allottedMicros").asLong())
                .orElse(0L);
    }

    private SpendingSettings settings() {
        SpendingSpecification shifts =
                new SpendingSpecification(
                        "UTC", List.of(shift("morning", 6), shift("evening", 14)));
        return new SpendingSettings(
                1,
                "spending",
                CLOCK_ERROR,
                COVER,
                List.of(new ServiceSpending(SERVICE, shifts, Map.of(REGION, PRICE))));
    }

    private ShiftSpecification shift(String name, int hour) {
        LocalTime start = LocalTime.of(hour, 0);
        return new ShiftSpecification(name, start, start.plusHours(SHIFT.toHours()), mCap);
    }

    /** One incarnation of an instance. */
    final class Node {

        final StandInStore.Access mAccess = mStore.new Access();
        final SpendingService mService;
        boolean mIsTerminated;
        long mCharged;

        Node(String name, long incarnation, Duration clockError) {
            Scheduler nodeScheduler =
                    (delay, task) ->
                            mLoop.schedule(
                                    delay,
                                    () -> {
                                        if (!mIsTerminated) {
                                            task.run();
                                        }
                                    });
            mService =
                    new SpendingService(
                            settings(),
                            Map.of(ZONE, REGION),
                            new Incarnation(new InstanceId(name), incarnation),
                            mAccess,
                            20,
                            () -> mNodes.size(),
                            nodeScheduler,
                            task -> nodeScheduler.schedule(Duration.ZERO, task),
                            new WrongClock(mTime, clockError));
        }

        Either<SpendingRefusal, Charge> charge() {
            Either<SpendingRefusal, Charge> charge = mService.charge(SERVICE, ZONE);
            if (charge.isRight()) {
                mCharged += PRICE;
                Instant shift = mTime.instant().isBefore(EVENING) ? MORNING : EVENING;
                mSpent.merge(shift, PRICE, Long::sum);
            }
            return charge;
        }

        long held() {
            return mService.views().stream()
                    .filter(view -> view.shift().contains(mTime.instant()))
                    .mapToLong(SpendingView::availableMicros)
                    .sum();
        }
    }

    /** Time source whose wall clock has a constant error. */
    private record WrongClock(TimeSource accurate, Duration error) implements TimeSource {

        @Override
        public Instant instant() {
            return accurate.instant().plus(error);
        }

        @Override
        public long monotonicNanos() {
            return accurate.monotonicNanos();
        }
    }
}
