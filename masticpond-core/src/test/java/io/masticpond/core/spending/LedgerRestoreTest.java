package io.masticpond.core.spending;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.fleet.StoreRevision;
import io.masticpond.core.spending.SpendingFixture.Node;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against spending above the cap after the platform was restored from an older copy of a
 * ledger, which lacks later allotments.
 */
class LedgerRestoreTest {

    private static final long CAP = 2_000;
    private static final int LAST_STEP = 5;

    /** Platform that can be restored from a copy of one ledger. */
    private static final class RestoreScenario {

        private final SpendingFixture mFixture = new SpendingFixture();
        private final Configuration mConfiguration = mFixture.configuration(CAP);
        private final List<Node> mNodes = new ArrayList<>();
        private Optional<VersionedLedger> mCopy = Optional.empty();
        private long mEra;

        void start() {
            Node node = mFixture.node("node-" + mNodes.size(), 1, mConfiguration);
            mNodes.add(node);
            node.settle();
        }

        void keepCopy() {
            mCopy = mFixture.mLedgers.ledger(SpendingFixture.MORNING);
        }

        void restoreCopy() {
            mEra++;
            mFixture.mLedgers.restoreCopy(
                    SpendingFixture.MORNING,
                    mCopy.map(
                            ledger ->
                                    new VersionedLedger(
                                            StoreRevision.of(mEra, ledger.version()),
                                            ledger.ledger())),
                    mEra);
            mNodes.forEach(node -> node.mGate.onPlatformRestored());
            mNodes.forEach(Node::settle);
        }

        void spend(int number, int times) {
            Node node = mNodes.get(number % mNodes.size());
            for (int i = 0; i < times; i++) {
                node.spend();
                node.mCalls.answerAll(node.mGate);
                node.advance(Duration.ofMillis(300));
            }
            node.settle();
        }

        /**
         * Returns the sum that instances hold or have spent in the shift, according to their own
         * accounts.
         */
        long heldAndSpent() {
            return mNodes.stream()
                    .flatMap(node -> node.mGate.views().stream())
                    .filter(view -> view.key().equals(SpendingFixture.MORNING))
                    .mapToLong(view -> view.availableMicros() + view.spentMicros())
                    .sum();
        }

        long spent() {
            return mNodes.stream().mapToLong(node -> node.mSpent).sum();
        }
    }

    @Example
    void allotmentsLostByPlatformAreNotAllottedAgain() {
        RestoreScenario scenario = new RestoreScenario();
        scenario.start();
        scenario.start();
        scenario.keepCopy();
        scenario.spend(0, 40);
        scenario.spend(1, 40);
        scenario.restoreCopy();
        assertThat(scenario.mFixture.allotted(SpendingFixture.MORNING))
                .isGreaterThanOrEqualTo(scenario.heldAndSpent());
        scenario.start();
        for (int node = 0; node < 3; node++) {
            scenario.spend(node, 200);
        }
        assertThat(scenario.spent()).isBetween(CAP / 2, CAP);
    }

    @Example
    void ledgerLostByPlatformIsWrittenAgain() {
        RestoreScenario scenario = new RestoreScenario();
        scenario.start();
        scenario.spend(0, 60);
        scenario.restoreCopy();
        assertThat(scenario.mFixture.allotted(SpendingFixture.MORNING))
                .isGreaterThanOrEqualTo(scenario.heldAndSpent());
        scenario.start();
        scenario.spend(1, 300);
        assertThat(scenario.spent()).isLessThanOrEqualTo(CAP);
    }

    @Property(seed = "20261203", tries = 200)
    void spendingStaysUnderCapAfterAnyRestores(
            @ForAll @Size(min = 3, max = 14) List<@IntRange(max = LAST_STEP) Integer> steps) {
        RestoreScenario scenario = new RestoreScenario();
        scenario.start();
        for (int index = 0; index < steps.size(); index++) {
            switch (steps.get(index)) {
                case 0 -> scenario.keepCopy();
                case 1 -> scenario.restoreCopy();
                case 2 -> scenario.start();
                default -> scenario.spend(index, 10 * steps.get(index));
            }
            assertThat(scenario.spent()).isLessThanOrEqualTo(CAP);
            assertThat(scenario.mFixture.allotted(SpendingFixture.MORNING))
                    .isGreaterThanOrEqualTo(scenario.heldAndSpent());
        }
    }
}
