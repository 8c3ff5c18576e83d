package io.masticpond.core.operation;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.operation.OnceOnlySimulation.CallFault;
import io.masticpond.core.operation.OnceOnlySimulation.RunEnd;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/** Runs registries and claims through the failures of the model, in any order. */
class OnceOnlyProperties {

    /** Steps of the specification once_only.als, as performed by the Java state machines. */
    private enum Step {
        SUBMIT {
            @Override
            void perform(OnceOnlySimulation simulation, Move move) {
                simulation.submit(move.home(), move.callerKey());
            }
        },
        CALL {
            @Override
            void perform(OnceOnlySimulation simulation, Move move) {
                simulation.call(move.home(), move.fault());
            }
        },
        END_RUN {
            @Override
            void perform(OnceOnlySimulation simulation, Move move) {
                simulation.endRun(move.home(), move.end());
            }
        },
        RESTART {
            @Override
            void perform(OnceOnlySimulation simulation, Move move) {
                simulation.restart(move.home(), move.end());
            }
        },
        LATE_WRITE {
            @Override
            void perform(OnceOnlySimulation simulation, Move move) {
                simulation.applyLateWrite();
            }
        },
        PARTITION {
            @Override
            void perform(OnceOnlySimulation simulation, Move move) {
                simulation.partition(move.fault() == CallFault.NONE);
            }
        };

        abstract void perform(OnceOnlySimulation simulation, Move move);
    }

    private record Move(Step step, int home, int callerKey, CallFault fault, RunEnd end) {}

    @Property(tries = 2_000, seed = "20261202")
    void noCallerKeyRunsTwiceAndNoVerdictIsFalse(@ForAll("moves") List<Move> moves) {
        OnceOnlySimulation simulation = new OnceOnlySimulation();
        moves.forEach(move -> move.step().perform(simulation, move));
        simulation.settle();
    }

    @Example
    void allInstancesReturnSameAnswerWithoutFaults() {
        OnceOnlySimulation simulation = new OnceOnlySimulation();
        for (int round = 0; round < 2; round++) {
            for (int home = 0; home < OnceOnlySimulation.HOMES; home++) {
                simulation.submit(home, 0);
            }
            simulation.settle();
        }
        assertThat(simulation.mAnswered).isGreaterThanOrEqualTo(OnceOnlySimulation.HOMES + 1);
    }

    @Example
    void updateWithLostAnswerIsSettledAndRunsOnce() {
        OnceOnlySimulation simulation = new OnceOnlySimulation();
        simulation.submit(0, 0);
        simulation.call(0, CallFault.NONE);
        simulation.call(0, CallFault.ANSWER_LOST_AFTER_EFFECT);
        simulation.submit(1, 0);
        simulation.settle();
        assertThat(simulation.mAnswered).isGreaterThanOrEqualTo(1);
    }

    @Example
    void updateThatTakesEffectLateRunsOnce() {
        OnceOnlySimulation simulation = new OnceOnlySimulation();
        simulation.submit(0, 0);
        simulation.call(0, CallFault.NONE);
        simulation.call(0, CallFault.EFFECT_LATE);
        simulation.submit(1, 0);
        simulation.call(1, CallFault.NONE);
        simulation.applyLateWrite();
        simulation.call(1, CallFault.NONE);
        simulation.settle();
        assertThat(simulation.mAnswered).isGreaterThanOrEqualTo(1);
    }

    @Provide
    Arbitrary<List<Move>> moves() {
        return Combinators.combine(
                        Arbitraries.frequencyOf(
                                Tuple.of(6, Arbitraries.just(Step.SUBMIT)),
                                Tuple.of(8, Arbitraries.just(Step.CALL)),
                                Tuple.of(5, Arbitraries.just(Step.END_RUN)),
                                Tuple.of(2, Arbitraries.just(Step.LATE_WRITE)),
                                Tuple.of(1, Arbitraries.just(Step.RESTART)),
                                Tuple.of(1, Arbitraries.just(Step.PARTITION))),
                        Arbitraries.integers().between(0, OnceOnlySimulation.HOMES - 1),
                        Arbitraries.integers().between(0, OnceOnlySimulation.CALLER_KEYS - 1),
                        Arbitraries.of(CallFault.class),
                        Arbitraries.of(RunEnd.class))
                .as(Move::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(60);
    }
}
