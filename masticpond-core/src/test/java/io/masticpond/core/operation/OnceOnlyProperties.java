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

/** Drives registries and claims through the failures of the model, in any order. */
class OnceOnlyProperties {

    /** The steps of the specification once_only.als, as the Java state machines take them. */
    private enum Step {
        SUBMIT {
            @Override
            void take(OnceOnlySimulation world, Move move) {
                world.submit(move.home(), move.callerKey());
            }
        },
        CALL {
            @Override
            void take(OnceOnlySimulation world, Move move) {
                world.call(move.home(), move.fault());
            }
        },
        END_RUN {
            @Override
            void take(OnceOnlySimulation world, Move move) {
                world.endRun(move.home(), move.end());
            }
        },
        RESTART {
            @Override
            void take(OnceOnlySimulation world, Move move) {
                world.restart(move.home(), move.end());
            }
        },
        LATE_WRITE {
            @Override
            void take(OnceOnlySimulation world, Move move) {
                world.applyLateWrite();
            }
        },
        PARTITION {
            @Override
            void take(OnceOnlySimulation world, Move move) {
                world.partition(move.fault() == CallFault.NONE);
            }
        };

        abstract void take(OnceOnlySimulation world, Move move);
    }

    private record Move(Step step, int home, int callerKey, CallFault fault, RunEnd end) {}

    @Property(tries = 2_000, seed = "20261202")
    void noCallersKeyRunsTwiceAndNoVerdictIsFalse(@ForAll("moves") List<Move> moves) {
        OnceOnlySimulation world = new OnceOnlySimulation();
        moves.forEach(move -> move.step().take(world, move));
        world.settle();
    }

    @Example
    void withoutFaultsEveryInstanceTellsTheOneAnswer() {
        OnceOnlySimulation world = new OnceOnlySimulation();
        for (int round = 0; round < 2; round++) {
            for (int home = 0; home < OnceOnlySimulation.HOMES; home++) {
                world.submit(home, 0);
            }
            world.settle();
        }
        assertThat(world.mAnswered).isGreaterThanOrEqualTo(OnceOnlySimulation.HOMES + 1);
    }

    @Example
    void anUpdateWhoseAnswerIsLostIsSettledAndRunsOnce() {
        OnceOnlySimulation world = new OnceOnlySimulation();
        world.submit(0, 0);
        world.call(0, CallFault.NONE);
        world.call(0, CallFault.ANSWER_LOST_AFTER_EFFECT);
        world.submit(1, 0);
        world.settle();
        assertThat(world.mAnswered).isGreaterThanOrEqualTo(1);
    }

    @Example
    void anUpdateThatTakesEffectLateRunsOnce() {
        OnceOnlySimulation world = new OnceOnlySimulation();
        world.submit(0, 0);
        world.call(0, CallFault.NONE);
        world.call(0, CallFault.EFFECT_LATE);
        world.submit(1, 0);
        world.call(1, CallFault.NONE);
        world.applyLateWrite();
        world.call(1, CallFault.NONE);
        world.settle();
        assertThat(world.mAnswered).isGreaterThanOrEqualTo(1);
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
