package io.masticpond.entry.spending;

import static io.masticpond.entry.spending.SpendingFleet.CLOCK_ERROR;
import static io.masticpond.entry.spending.SpendingFleet.EVENING;
import static io.masticpond.entry.spending.SpendingFleet.MORNING;
import static io.masticpond.entry.spending.SpendingFleet.PRICE;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ServiceId;
import io.masticpond.entry.replica.FeedError;
import io.masticpond.entry.request.SpendingRefusal;
import io.masticpond.entry.spending.SpendingFleet.Node;
import io.masticpond.entry.spending.StandInStore.CallDisposition;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that the spending of all instances together never exceeds the cap under any failure, and
 * that a failure leaves little of the cap unused.
 */
class SpendingServiceTest {

    private static final long CAP = 288_000;

    /** Time within which the demand adds up to more than the cap. */
    private static final Duration DEMAND_DURATION = Duration.ofMinutes(20);

    private static final int ATTEMPTS_PER_SECOND = 2;

    private final SpendingFleet mFleet = new SpendingFleet(CAP);

    @Property(tries = 40, seed = "20261202")
    void resolvesLostWriteAnswersByReading(@ForAll @IntRange(max = 1_000) int seed) {
        SpendingFleet fleet = new SpendingFleet(CAP);
        Random random = new Random(seed);
        CallDisposition[] dispositions = CallDisposition.values();
        for (String name : List.of("a", "b", "c")) {
            fleet.start(name)
                    .mAccess
                    .writes(() -> dispositions[random.nextInt(dispositions.length)]);
        }
        fleet.demand(DEMAND_DURATION, ATTEMPTS_PER_SECOND);
        assertThat(fleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(fleet.spent(MORNING)).isGreaterThan(CAP * 95 / 100);
        assertThat(fleet.allotted()).isLessThanOrEqualTo(CAP);
    }

    @Example
    void spendsAllotmentWhoseWriteAnswerWasLost() {
        Node node = mFleet.start("a");
        node.mAccess.writes(() -> CallDisposition.LOST_AFTER_EFFECT);
        mFleet.mLoop.pass(Duration.ofMillis(10));
        assertThat(mFleet.allotted()).isPositive();
        assertThat(node.held()).as("nothing is spent while the outcome is uncertain").isZero();
        mFleet.settle();
        assertThat(node.held()).isEqualTo(mFleet.allotted());
    }

    @Example
    void killedInstanceStrandsAtMostItsCover() {
        Node victim = mFleet.start("a");
        mFleet.start("b");
        mFleet.start("c");
        mFleet.settle();
        long held = victim.held();
        assertThat(held).isPositive();
        assertThat(held)
                .isLessThanOrEqualTo(
                        CAP
                                * SpendingFleet.COVER.toMinutes()
                                / SpendingFleet.SHIFT.toMinutes()
                                / 3);
        mFleet.kill(victim);
        mFleet.start("a");
        mFleet.demand(DEMAND_DURATION, ATTEMPTS_PER_SECOND);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP - held);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP - held - 6 * PRICE);
    }

    @Example
    void spendsOnlyHeldAllotmentWhileStoreIsUnavailable() {
        Node node = mFleet.start("a");
        Node other = mFleet.start("b");
        mFleet.settle();
        long held = node.held() + other.held();
        node.mAccess.refuse(FeedError.UNREACHABLE);
        other.mAccess.refuse(FeedError.TURNED_AWAY);
        mFleet.demand(DEMAND_DURATION, ATTEMPTS_PER_SECOND);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(held - 2 * PRICE).isLessThanOrEqualTo(held);
        for (Node each : mFleet.nodes()) {
            SpendingRefusal refusal = each.charge().getLeft();
            assertThat(refusal.cause()).isEqualTo("no-allotment");
            assertThat(refusal.inputs().state()).isEqualTo("platform-away");
            assertThat(refusal.retryAfter()).isEqualTo(Duration.ofSeconds(1));
        }
        node.mAccess.serve();
        mFleet.settle();
        assertThat(node.charge().isRight()).as("the store is reachable again").isTrue();
    }

    @Example
    void keepsBothCapsWhenClocksDifferAtShiftChange() {
        mFleet.mTime.advance(
                Duration.between(mFleet.mTime.instant(), EVENING.minus(DEMAND_DURATION)));
        mFleet.start("late", Duration.ofMillis(-450));
        mFleet.start("right");
        mFleet.start("early", Duration.ofMillis(450));
        mFleet.demand(DEMAND_DURATION.minusSeconds(2), ATTEMPTS_PER_SECOND);
        assertThat(mFleet.spent(MORNING)).as("the cap is reached").isGreaterThan(CAP * 98 / 100);
        for (int step = 0; step < 400; step++) {
            mFleet.mLoop.pass(Duration.ofMillis(10));
            mFleet.nodes().forEach(Node::charge);
        }
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(mFleet.spent(EVENING)).as("the next shift is open").isPositive();
        mFleet.demand(DEMAND_DURATION, ATTEMPTS_PER_SECOND);
        assertThat(mFleet.spent(EVENING)).isLessThanOrEqualTo(CAP);
    }

    @Example
    void simultaneousRestartStrandsHeldAllotmentsOnly() {
        long stranded = 0;
        for (int round = 0; round < 4; round++) {
            for (String name : List.of("a", "b", "c")) {
                mFleet.start(name);
            }
            mFleet.demand(Duration.ofMinutes(3), ATTEMPTS_PER_SECOND);
            stranded += mFleet.nodes().stream().mapToLong(Node::held).sum();
            mFleet.nodes().forEach(mFleet::kill);
        }
        mFleet.start("a");
        mFleet.demand(DEMAND_DURATION, 3 * ATTEMPTS_PER_SECOND);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP - stranded);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP - stranded - 6 * PRICE);
        assertThat(mFleet.allotted()).isLessThanOrEqualTo(CAP);
    }

    @Example
    void racingInstancesTogetherStayWithinCap() {
        mFleet.start("a");
        mFleet.start("b");
        mFleet.demand(DEMAND_DURATION, 2 * ATTEMPTS_PER_SECOND);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP * 99 / 100);
        mFleet.nodes().forEach(node -> assertThat(node.mCharged).isPositive());
    }

    @Example
    void disconnectedInstanceSpendsItsAllotmentWhileOthersContinue() {
        Node disconnected = mFleet.start("a");
        mFleet.start("b");
        mFleet.start("c");
        mFleet.settle();
        long held = disconnected.held();
        disconnected.mAccess.refuse(FeedError.UNREACHABLE);
        mFleet.demand(DEMAND_DURATION, ATTEMPTS_PER_SECOND);
        assertThat(disconnected.mCharged).isGreaterThan(held - PRICE).isLessThanOrEqualTo(held);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP * 99 / 100);
        disconnected.mAccess.serve();
        mFleet.settle();
        assertThat(disconnected.charge().getLeft().cause()).isEqualTo("spending-cap");
    }

    @Example
    void refusalAtCapReportsInputsAndStartOfNextShift() {
        Node node = mFleet.start("a");
        mFleet.demand(DEMAND_DURATION, 3 * ATTEMPTS_PER_SECOND);
        SpendingRefusal refusal = node.charge().getLeft();
        assertThat(refusal.cause()).isEqualTo("spending-cap");
        assertThat(refusal.retryAfter())
                .isEqualTo(Duration.between(mFleet.mTime.instant(), EVENING).plus(CLOCK_ERROR));
        assertThat(refusal.inputs().shift()).isEqualTo("2026-12-02-morning");
        assertThat(refusal.inputs().state()).isEqualTo("exhausted");
        assertThat(refusal.inputs().priceMicros()).isEqualTo(PRICE);
        assertThat(refusal.inputs().capMicros()).isEqualTo(CAP);
        assertThat(refusal.inputs().spentMicros()).isEqualTo(node.mCharged);
    }

    @Example
    void refusesChargesBetweenShifts() {
        mFleet.mTime.advance(Duration.between(mFleet.mTime.instant(), EVENING.plusSeconds(30_000)));
        SpendingRefusal refusal = mFleet.start("a").charge().getLeft();
        assertThat(refusal.cause()).isEqualTo("spending-cap");
        assertThat(refusal.inputs().shift()).isEqualTo("none");
    }

    @Example
    void stopReturnsRemainderAndRefusesFurtherCharges() {
        Node node = mFleet.start("a");
        mFleet.settle();
        node.charge();
        node.mService.stop();
        assertThat(node.charge().isLeft()).isTrue();
        assertThat(node.mService.isStopped()).isFalse();
        mFleet.settle();
        assertThat(node.mService.isStopped()).isTrue();
        assertThat(mFleet.allotted()).isEqualTo(PRICE);
    }

    @Example
    void refundedChargeCanBeSpentAgain() {
        Node node = mFleet.start("a");
        mFleet.settle();
        long held = node.held();
        node.mService.refund(node.charge().get());
        assertThat(node.held()).isEqualTo(held);
    }

    @Example
    void neverRefusesServiceWithoutCap() {
        Node node = mFleet.start("a");
        node.mAccess.refuse(FeedError.UNREACHABLE);
        assertThat(node.mService.charge(new ServiceId("other"), SpendingFleet.ZONE).isRight())
                .isTrue();
    }
}
