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

/** The sum of all instances never passes the cap, whatever fails; and what fails wastes little. */
class SpendingServiceTest {

    private static final long CAP = 288_000;

    /** More than the cap in all, spread over the time that it takes. */
    private static final Duration LONG = Duration.ofMinutes(20);

    private static final int MUCH = 2;

    private final SpendingFleet mFleet = new SpendingFleet(CAP);

    @Property(tries = 40, seed = "20261202")
    void lostAnswersOfWritesAreSettledByReading(@ForAll @IntRange(max = 1_000) int seed) {
        SpendingFleet fleet = new SpendingFleet(CAP);
        Random random = new Random(seed);
        CallDisposition[] fates = CallDisposition.values();
        for (String name : List.of("a", "b", "c")) {
            fleet.start(name).mAccess.writes(() -> fates[random.nextInt(fates.length)]);
        }
        fleet.demand(LONG, MUCH);
        assertThat(fleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(fleet.spent(MORNING)).isGreaterThan(CAP * 95 / 100);
        assertThat(fleet.allotted()).isLessThanOrEqualTo(CAP);
    }

    @Example
    void writeThatTookEffectBehindLostAnswerIsSpent() {
        Node node = mFleet.start("a");
        node.mAccess.writes(() -> CallDisposition.LOST_AFTER_EFFECT);
        mFleet.mLoop.pass(Duration.ofMillis(10));
        assertThat(mFleet.allotted()).isPositive();
        assertThat(node.held()).as("nothing is spent in doubt").isZero();
        mFleet.settle();
        assertThat(node.held()).isEqualTo(mFleet.allotted());
    }

    @Example
    void instanceKilledWithAllotmentInHandStrandsNoMoreThanItsCover() {
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
        mFleet.demand(LONG, MUCH);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP - held);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP - held - 6 * PRICE);
    }

    @Example
    void storeThatIsDownLeavesWhatIsInHandAndThenNothing() {
        Node node = mFleet.start("a");
        Node other = mFleet.start("b");
        mFleet.settle();
        long held = node.held() + other.held();
        node.mAccess.refuse(FeedError.UNREACHABLE);
        other.mAccess.refuse(FeedError.TURNED_AWAY);
        mFleet.demand(LONG, MUCH);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(held - 2 * PRICE).isLessThanOrEqualTo(held);
        for (Node each : mFleet.nodes()) {
            SpendingRefusal refusal = each.charge().getLeft();
            assertThat(refusal.cause()).isEqualTo("no-allotment");
            assertThat(refusal.inputs().state()).isEqualTo("platform-away");
            assertThat(refusal.retryAfter()).isEqualTo(Duration.ofSeconds(1));
        }
        node.mAccess.serve();
        mFleet.settle();
        assertThat(node.charge().isRight()).as("the store is back").isTrue();
    }

    @Example
    void clocksThatDifferAtTheBorderPassNeitherCap() {
        mFleet.mTime.advance(Duration.between(mFleet.mTime.instant(), EVENING.minus(LONG)));
        mFleet.start("late", Duration.ofMillis(-450));
        mFleet.start("right");
        mFleet.start("early", Duration.ofMillis(450));
        mFleet.demand(LONG.minusSeconds(2), MUCH);
        assertThat(mFleet.spent(MORNING)).as("the cap is reached").isGreaterThan(CAP * 98 / 100);
        for (int step = 0; step < 400; step++) {
            mFleet.mLoop.pass(Duration.ofMillis(10));
            mFleet.nodes().forEach(Node::charge);
        }
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(mFleet.spent(EVENING)).as("the next shift is open").isPositive();
        mFleet.demand(LONG, MUCH);
        assertThat(mFleet.spent(EVENING)).isLessThanOrEqualTo(CAP);
    }

    @Example
    void restartOfAllAtOnceSpendsNothingTwiceAndStrandsWhatWasInHand() {
        long stranded = 0;
        for (int round = 0; round < 4; round++) {
            for (String name : List.of("a", "b", "c")) {
                mFleet.start(name);
            }
            mFleet.demand(Duration.ofMinutes(3), MUCH);
            stranded += mFleet.nodes().stream().mapToLong(Node::held).sum();
            mFleet.nodes().forEach(mFleet::kill);
        }
        mFleet.start("a");
        mFleet.demand(LONG, 3 * MUCH);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP - stranded);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP - stranded - 6 * PRICE);
        assertThat(mFleet.allotted()).isLessThanOrEqualTo(CAP);
    }

    @Example
    void twoInstancesThatRaceForTheLastAreNotBothServed() {
        mFleet.start("a");
        mFleet.start("b");
        mFleet.demand(LONG, 2 * MUCH);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP * 99 / 100);
        mFleet.nodes().forEach(node -> assertThat(node.mCharged).isPositive());
    }

    @Example
    void partedRegionSpendsWhatItHoldsWhileTheOthersGoOn() {
        Node parted = mFleet.start("a");
        mFleet.start("b");
        mFleet.start("c");
        mFleet.settle();
        long held = parted.held();
        parted.mAccess.refuse(FeedError.UNREACHABLE);
        mFleet.demand(LONG, MUCH);
        assertThat(parted.mCharged).isGreaterThan(held - PRICE).isLessThanOrEqualTo(held);
        assertThat(mFleet.spent(MORNING)).isLessThanOrEqualTo(CAP);
        assertThat(mFleet.spent(MORNING)).isGreaterThan(CAP * 99 / 100);
        parted.mAccess.serve();
        mFleet.settle();
        assertThat(parted.charge().getLeft().cause()).isEqualTo("spending-cap");
    }

    @Example
    void refusalAtTheCapTellsItsInputsAndWhenTheNextShiftBegins() {
        Node node = mFleet.start("a");
        mFleet.demand(LONG, 3 * MUCH);
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
    void betweenShiftsNothingIsPaidFor() {
        mFleet.mTime.advance(Duration.between(mFleet.mTime.instant(), EVENING.plusSeconds(30_000)));
        SpendingRefusal refusal = mFleet.start("a").charge().getLeft();
        assertThat(refusal.cause()).isEqualTo("spending-cap");
        assertThat(refusal.inputs().shift()).isEqualTo("none");
    }

    @Example
    void plannedStopReturnsWhatIsLeftAndPaysForNothingMore() {
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
    void chargeTakenBackCanBeSpentAgain() {
        Node node = mFleet.start("a");
        mFleet.settle();
        long held = node.held();
        node.mService.refund(node.charge().get());
        assertThat(node.held()).isEqualTo(held);
    }

    @Example
    void serviceWithoutCapIsNeverRefused() {
        Node node = mFleet.start("a");
        node.mAccess.refuse(FeedError.UNREACHABLE);
        assertThat(node.mService.charge(new ServiceId("other"), SpendingFleet.ZONE).isRight())
                .isTrue();
    }
}
