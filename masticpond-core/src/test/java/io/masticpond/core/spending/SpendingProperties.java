package io.masticpond.core.spending;

import io.masticpond.core.configuration.Configuration;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Runs the steps of the specification spending.als on the state machines, in any order. */
class SpendingProperties {

    private static final int INSTANCES = 3;

    /** Kind of a step of the specification, performed at one instance. */
    private enum Kind {
        SPEND,
        ANSWERED,
        LOST_AFTER_EFFECT,
        LOST_BEFORE_EFFECT,
        LOST_AND_DELAYED,
        UNAVAILABLE,
        DELIVER_DELAYED,
        WAIT,
        RESTART,
        STOP,
        CHANGE_CAP
    }

    record Step(Kind kind, int instance, int amount) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kind =
                Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(5, Arbitraries.just(Kind.SPEND)),
                        net.jqwik.api.Tuple.of(5, Arbitraries.just(Kind.ANSWERED)),
                        net.jqwik.api.Tuple.of(5, Arbitraries.of(Kind.class)));
        return Combinators.combine(
                        kind,
                        Arbitraries.integers().between(0, INSTANCES - 1),
                        Arbitraries.integers().between(1, 30))
                .as(Step::new)
                .list()
                .ofMinSize(20)
                .ofMaxSize(250);
    }

    @Property(tries = 2_000, seed = "20261202")
    void spendingStaysUnderHighestCap(@ForAll("steps") List<Step> steps) {
        Run run = new Run();
        for (Step step : steps) {
            run.perform(step);
            run.check();
        }
    }

    /** Three instances, with the spending of their terminated predecessors. */
    private static final class Run {

        private final SpendingFixture mFixture = new SpendingFixture();
        private final List<SpendingFixture.Node> mNodes = new ArrayList<>();
        private Configuration mConfiguration = mFixture.configuration(1_000);
        private long mHighestCap = 1_000;
        private long mSpentByTerminated;
        private long mIncarnation = 1;

        Run() {
            for (int index = 0; index < INSTANCES; index++) {
                mNodes.add(start(index));
            }
        }

        void perform(Step step) {
            SpendingFixture.Node node = mNodes.get(step.instance());
            switch (step.kind()) {
                case SPEND -> spend(node, step.amount());
                case DELIVER_DELAYED -> mFixture.mLedgers.deliverDelayed();
                case WAIT -> node.advance(Duration.ofMillis(step.amount() * 200L));
                case RESTART -> restart(step.instance());
                case STOP -> node.mGate.stop();
                case CHANGE_CAP -> changeCap(node, step.amount() * 50L);
                default -> {
                    node.advance(Duration.ofMillis(600));
                    node.mCalls.answerNext(
                            FakeLedgers.CallDisposition.valueOf(step.kind().name()), node.mGate);
                }
            }
        }

        void check() {
            long allotted = mFixture.allotted(SpendingFixture.MORNING);
            long spent = mSpentByTerminated;
            for (SpendingFixture.Node node : mNodes) {
                spent += node.mSpent;
            }
            if (allotted > mHighestCap || spent > allotted) {
                throw new AssertionError(
                        "spent " + spent + ", allotted " + allotted + ", cap " + mHighestCap);
            }
        }

        private void spend(SpendingFixture.Node node, int times) {
            for (int time = 0; time < times; time++) {
                node.spend();
            }
        }

        private void restart(int index) {
            mSpentByTerminated += mNodes.get(index).mSpent;
            mNodes.set(index, start(index));
        }

        private void changeCap(SpendingFixture.Node node, long cap) {
            mHighestCap = Math.max(mHighestCap, cap);
            mConfiguration = mFixture.configuration(cap);
            node.mGate.configure(mConfiguration);
        }

        private SpendingFixture.Node start(int index) {
            mIncarnation++;
            return mFixture.node("instance-" + index, mIncarnation, mConfiguration);
        }
    }
}
