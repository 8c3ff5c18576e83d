package io.masticpond.core.spending;

import static io.masticpond.core.spending.SpendingFixture.EVENING;
import static io.masticpond.core.spending.SpendingFixture.EVENING_START;
import static io.masticpond.core.spending.SpendingFixture.MORNING;
import static io.masticpond.core.spending.SpendingFixture.PRICE;
import static io.masticpond.core.spending.SpendingFixture.SERVICE;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/**
 * Tests each failure that affects spending on its own: lost answers, late writes, conflicts,
 * terminated and paused holders, platform outages, clock steps, cap changes and faulty ledgers.
 */
class SpendingFailureTest {

    private static final long CAP = 1_000;

    private final SpendingFixture mFixture = new SpendingFixture();

    private SpendingFixture.Node start(String name, long incarnation) {
        return mFixture.node(name, incarnation, mFixture.configuration(CAP));
    }

    private static long available(SpendingFixture.Node node, LedgerKey key) {
        return node.mGate.views().stream()
                .filter(view -> view.key().equals(key))
                .mapToLong(SpendingView::availableMicros)
                .findFirst()
                .orElse(0);
    }

    private static Refusal refusal(SpendingFixture.Node node) {
        return node.mGate.charge(SERVICE, PRICE).getLeft();
    }

    private static void spendAll(SpendingFixture.Node node) {
        int refused = 0;
        while (refused < 20) {
            refused = node.spend() ? 0 : refused + 1;
            node.mCalls.answerAll(node.mGate);
            node.advance(Duration.ofSeconds(1));
        }
    }

    @Example
    void recognizesWriteThatTookEffectAfterLostAnswer() {
        SpendingFixture.Node node = start("a", 1);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.ANSWERED, node.mGate);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.LOST_AFTER_EFFECT, node.mGate);
        assertThat(available(node, MORNING))
                .as("nothing may be spent while the outcome is uncertain")
                .isEqualTo(0);
        node.settle();
        assertThat(available(node, MORNING) > 0).isTrue();
        assertThat(available(node, MORNING)).isEqualTo(mFixture.allotted(MORNING));
    }

    @Example
    void repeatsWriteThatHadNoEffectAfterLostAnswer() {
        SpendingFixture.Node node = start("a", 1);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.ANSWERED, node.mGate);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.LOST_BEFORE_EFFECT, node.mGate);
        node.settle();
        assertThat(available(node, MORNING) > 0).isTrue();
        assertThat(available(node, MORNING)).isEqualTo(mFixture.allotted(MORNING));
    }

    @Example
    void countsLateWriteOnce() {
        SpendingFixture.Node node = start("a", 1);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.ANSWERED, node.mGate);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.LOST_AND_DELAYED, node.mGate);
        node.advance(Duration.ofSeconds(1));
        node.mCalls.answerNext(FakeLedgers.CallDisposition.ANSWERED, node.mGate);
        mFixture.mLedgers.deliverDelayed();
        node.settle();
        assertThat(available(node, MORNING) > 0).isTrue();
        assertThat(available(node, MORNING)).isEqualTo(mFixture.allotted(MORNING));
    }

    @Example
    void unavailableAnswerToSecondWriteDoesNotSettleFirst() {
        SpendingFixture.Node node = start("a", 1);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.ANSWERED, node.mGate);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.LOST_AND_DELAYED, node.mGate);
        node.advance(Duration.ofSeconds(1));
        node.mCalls.answerNext(FakeLedgers.CallDisposition.ANSWERED, node.mGate);
        node.mCalls.answerNext(FakeLedgers.CallDisposition.UNAVAILABLE, node.mGate);
        mFixture.mLedgers.deliverDelayed();
        node.settle();
        assertThat(available(node, MORNING)).isEqualTo(mFixture.allotted(MORNING));
    }

    @Example
    void allotsToConcurrentWritersWithoutCountingTwice() {
        List<SpendingFixture.Node> nodes = List.of(start("a", 1), start("b", 2), start("c", 3));
        for (int round = 0; round < 40; round++) {
            nodes.forEach(
                    node ->
                            node.mCalls.answerNext(
                                    FakeLedgers.CallDisposition.ANSWERED, node.mGate));
            nodes.forEach(node -> node.advance(Duration.ofMillis(200)));
        }
        long held = nodes.stream().mapToLong(node -> available(node, MORNING)).sum();
        nodes.forEach(node -> assertThat(available(node, MORNING) > 0).isTrue());
        assertThat(held).isEqualTo(mFixture.allotted(MORNING));
    }

    @Example
    void allotmentOfTerminatedHolderIsNotAllottedAgain() {
        SpendingFixture.Node terminated = start("a", 1);
        terminated.mCalls.answerNext(FakeLedgers.CallDisposition.ANSWERED, terminated.mGate);
        terminated.mCalls.answerNext(
                FakeLedgers.CallDisposition.LOST_AFTER_EFFECT, terminated.mGate);
        long stranded = mFixture.allotted(MORNING);
        SpendingFixture.Node next = start("a", 2);
        next.settle();
        spendAll(next);
        assertThat(stranded > 0).isTrue();
        assertThat(next.mSpent).isEqualTo((CAP - stranded) / PRICE * PRICE);
    }

    @Example
    void holderResumedInNextShiftIsChargedInNextShift() {
        SpendingFixture.Node paused = start("a", 1);
        paused.settle();
        mFixture.mTime.advance(Duration.between(mFixture.mTime.instant(), EVENING_START));
        mFixture.mTime.advance(Duration.ofMinutes(1));
        assertThat(refusal(paused).cause()).isEqualTo(RefusalCause.NOT_READY);
        paused.settle();
        paused.spend();
        assertThat(spentHere(paused, EVENING)).isEqualTo(PRICE);
        assertThat(spentHere(paused, MORNING)).isEqualTo(0);
    }

    private static long spentHere(SpendingFixture.Node node, LedgerKey key) {
        return node.mGate.views().stream()
                .filter(view -> view.key().equals(key))
                .mapToLong(SpendingView::spentMicros)
                .sum();
    }

    @Example
    void platformOutageAtShiftBoundaryNeedsNoCall() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        Instant before = EVENING_START.minusSeconds(120);
        node.advance(Duration.between(mFixture.mTime.instant(), before));
        node.settle();
        mFixture.mTime.advance(Duration.ofMinutes(3));
        node.mGate.advance();
        boolean hasNext = true;
        while (hasNext) {
            hasNext = node.mCalls.answerNext(FakeLedgers.CallDisposition.UNAVAILABLE, node.mGate);
        }
        assertThat(node.spend())
                .as("the next shift's allotment was requested before its start")
                .isTrue();
        assertThat(spentHere(node, EVENING)).isEqualTo(PRICE);
    }

    @Example
    void chargesBothShiftsNearBoundary() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        node.advance(Duration.between(mFixture.mTime.instant(), EVENING_START.minusSeconds(60)));
        node.settle();
        Instant near = EVENING_START.minusMillis(100);
        mFixture.mTime.advance(Duration.between(mFixture.mTime.instant(), near));
        assertThat(node.spend()).isTrue();
        assertThat(spentHere(node, MORNING)).isEqualTo(PRICE);
        assertThat(spentHere(node, EVENING)).isEqualTo(PRICE);
    }

    @Example
    void clockSteppingBackChargesEarlierShiftAgain() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        Duration ahead = Duration.between(mFixture.mTime.instant(), EVENING_START.plusSeconds(60));
        mFixture.mTime.stepWallClock(ahead);
        node.settle();
        node.spend();
        mFixture.mTime.stepWallClock(ahead.negated());
        node.settle();
        node.spend();
        assertThat(spentHere(node, MORNING)).isEqualTo(PRICE);
        assertThat(spentHere(node, EVENING)).isEqualTo(PRICE);
    }

    @Example
    void loweredCapIsReachedByReturnedAllotments() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        spendAll(node);
        assertThat(node.mSpent).isEqualTo(CAP);
        mFixture.mTime.advance(Duration.ofSeconds(1));
        node.mGate.configure(mFixture.configuration(2 * CAP));
        node.settle();
        assertThat(node.spend()).as("the cap was raised during the shift").isTrue();
        node.mGate.configure(mFixture.configuration(CAP));
        node.settle();
        assertThat(mFixture.allotted(MORNING)).isEqualTo(node.mSpent);
        assertThat(node.spend()).isFalse();
        assertThat(refusal(node).cause()).isEqualTo(RefusalCause.SPENDING_CAP);
    }

    @Example
    void instanceWithOldConfigurationObservesLoweredCap() {
        SpendingFixture.Node outdated = start("late", 1);
        outdated.settle();
        SpendingFixture.Node node = mFixture.node("a", 2, mFixture.configuration(100));
        node.settle();
        spendAll(outdated);
        assertThat(mFixture.allotted(MORNING) <= 100).isTrue();
    }

    @Example
    void refusalAtCapStatesStartOfNextShift() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        spendAll(node);
        Refusal refusal = refusal(node);
        assertThat(refusal.verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(refusal.cause()).isEqualTo(RefusalCause.SPENDING_CAP);
        Duration toNext = Duration.between(mFixture.mTime.instant(), EVENING_START);
        assertThat(refusal.retryAfter())
                .isEqualTo(Optional.of(toNext.plus(SpendingFixture.CLOCK_ERROR)));
    }

    @Example
    void revertedLedgerIsReportedAndNotUsed() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        SpendingCap cap = new SpendingCap(CAP, new ConfigurationVersion(1));
        SpendingLedger emptied = SpendingLedger.empty(MORNING, cap).allot(holder("x"), 1, 1);
        mFixture.mLedgers.put(MORNING, new VersionedLedger(50, emptied));
        long held = available(node, MORNING);
        spendAll(node);
        assertThat(node.mSpent).as("the holding is spent and no more is allotted").isEqualTo(held);
        assertThat(refusal(node).cause()).isEqualTo(RefusalCause.PLATFORM_AWAY);
        assertThat(mFixture.allotted(MORNING)).isEqualTo(1);
    }

    private static io.masticpond.core.id.Incarnation holder(String name) {
        return io.masticpond.core.id.Incarnation.parse(name + "@1");
    }

    @Example
    void unreadableLedgerIsNotUsed() {
        SpendingFixture.Node node = mFixture.new Node("a", 1);
        node.mGate.configure(mFixture.configuration(CAP));
        node.mGate.onAnswer(MORNING, new LedgerAnswer.Unreadable("The sum is wrong."));
        assertThat(node.spend()).isFalse();
        assertThat(refusal(node).cause()).isEqualTo(RefusalCause.PLATFORM_AWAY);
    }

    @Example
    void plannedStopReturnsUnspentAllotment() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        node.spend();
        node.mGate.stop();
        assertThat(node.mGate.isStopped()).isFalse();
        node.mCalls.answerNext(FakeLedgers.CallDisposition.LOST_AFTER_EFFECT, node.mGate);
        node.settle();
        assertThat(node.mGate.isStopped()).isTrue();
        assertThat(mFixture.allotted(MORNING)).isEqualTo(PRICE);
    }

    @Example
    void refundedAmountCanBeSpentAgain() {
        SpendingFixture.Node node = start("a", 1);
        node.settle();
        long before = available(node, MORNING);
        Charge charge = node.mGate.charge(SERVICE, PRICE).get();
        assertThat(available(node, MORNING)).isEqualTo(before - PRICE);
        node.mGate.refund(charge);
        assertThat(available(node, MORNING)).isEqualTo(before);
    }

    @Example
    void capOfZeroAllowsOnlyPriceZero() {
        SpendingFixture.Node node = mFixture.node("a", 1, mFixture.configuration(0));
        node.settle();
        assertThat(node.mGate.charge(SERVICE, 0).isRight()).isTrue();
        assertThat(refusal(node).cause()).isEqualTo(RefusalCause.SPENDING_CAP);
    }

    @Example
    void ledgerCompactsHoldingsThatChangedLongestAgo() {
        SpendingCap cap = new SpendingCap(1_000_000, new ConfigurationVersion(1));
        SpendingLedger ledger = SpendingLedger.empty(MORNING, cap);
        for (int index = 0; index < 500; index++) {
            ledger = ledger.allot(holder("i" + index), 1, 7);
        }
        assertThat(ledger.holdings().size()).isEqualTo(SpendingLedger.MAXIMUM_HOLDINGS);
        assertThat(ledger.allottedMicros()).isEqualTo(3_500);
        assertThat(ledger.holding(holder("i0")).isEmpty()).isTrue();
    }
}
