package io.masticpond.core.spending;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.PriceSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.configuration.ShiftSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalTime;
import java.util.List;
import java.util.Optional;

/**
 * Test fixture: one service with two shifts a day, and gates over ledgers whose calls the test
 * performs.
 */
final class SpendingFixture {

    static final ServiceId SERVICE = new ServiceId("plate-ledger");
    static final LedgerKey MORNING = new LedgerKey(SERVICE, new ShiftId("2026-12-02-morning"));
    static final LedgerKey EVENING = new LedgerKey(SERVICE, new ShiftId("2026-12-02-evening"));
    static final Instant MORNING_START = Instant.parse("2026-12-02T06:00:00Z");
    static final Instant EVENING_START = Instant.parse("2026-12-02T14:00:00Z");
    static final Duration CLOCK_ERROR = Duration.ofMillis(500);
    static final long PRICE = 10;

    final ManualTimeSource mTime = new ManualTimeSource(MORNING_START.plusSeconds(3600));
    final FakeLedgers mLedgers = new FakeLedgers();
    private long mVersion;

    Configuration configuration(long capMicros) {
        SpendingSpecification spending =
                new SpendingSpecification(
                        "UTC", List.of(shift("morning", 6, capMicros), shift("evening", 14, 500)));
        ServiceSpecification service =
                new ServiceSpecification(
                        SERVICE,
                        1_000,
                        List.of(),
                        List.of(),
                        List.of(new PriceSpecification(new RegionId("casa"), PRICE)),
                        Optional.of(spending));
        ConfigurationContent content =
                new ConfigurationContent(
                        List.of(), List.of(), List.of(service), List.of(), List.of());
        mVersion++;
        return new Configuration(
                new ConfigurationVersion(mVersion), Optional.of(new PlanId("plan")), content);
    }

    /** Creates the gate of one instance, whose calls wait. */
    Node node(String name, long incarnation, Configuration configuration) {
        Node node = new Node(name, incarnation);
        node.mGate.configure(configuration);
        return node;
    }

    long allotted(LedgerKey key) {
        return mLedgers.ledger(key).map(found -> found.ledger().allottedMicros()).orElse(0L);
    }

    private static ShiftSpecification shift(String name, int hour, long capMicros) {
        LocalTime start = LocalTime.of(hour, 0);
        return new ShiftSpecification(name, start, start.plusHours(8), capMicros);
    }

    /** One incarnation of an instance; its spending is counted outside its state machines. */
    final class Node {

        final FakeLedgers.Calls mCalls = mLedgers.calls();
        final DefaultSpendingGate mGate;
        long mSpent;

        Node(String name, long incarnation) {
            mGate =
                    new DefaultSpendingGate(
                            new Incarnation(new InstanceId(name), incarnation),
                            new AllotmentPolicy(Duration.ofMinutes(2), 2, 20),
                            CLOCK_ERROR,
                            mCalls,
                            mTime,
                            Timeline.NONE,
                            incarnation);
        }

        void advance(Duration duration) {
            mTime.advance(duration);
            mGate.advance();
        }

        /**
         * Answers every call and advances the time in between, so that delayed calls become due.
         */
        void settle() {
            for (int round = 0; round < 20; round++) {
                mCalls.answerAll(mGate);
                advance(Duration.ofSeconds(1));
            }
            mCalls.answerAll(mGate);
        }

        boolean spend() {
            boolean isCharged = mGate.charge(SERVICE, PRICE).isRight();
            mSpent += isCharged ? PRICE : 0;
            return isCharged;
        }
    }
}
