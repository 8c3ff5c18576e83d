package io.masticpond.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import java.util.Arrays;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that servers that fail or are slow compared with their peers get a penalty and can lose it
 * again.
 */
final class CallOutlierDetectorTest {

    private static final long MILLI = 1_000_000L;
    private static final ServiceId SERVICE = new ServiceId("s");

    @Example
    void serverThatFailsHalfOfItsRequestsIsPenalized() {
        Simulation simulation = new Simulation(1, 8);
        simulation.mFailureShare[3] = 0.5;
        simulation.run(6_000, false);
        assertThat(simulation.penalty(3)).isGreaterThan(0.5);
        assertThat(simulation.penalized()).isEqualTo(1);
    }

    @Example
    void returnsTheEvaluationOfServer() {
        Simulation simulation = new Simulation(1, 8);
        simulation.mFailureShare[3] = 0.5;
        simulation.run(6_000, false);
        ServerEvaluation evaluation =
                simulation
                        .mDetector
                        .evaluation(SERVICE, simulation.id(3), 6_000 * MILLI)
                        .orElseThrow();
        assertThat(evaluation.failureShare()).isBetween(0.3, 0.7);
        assertThat(evaluation.penalty()).isGreaterThan(0.5);
        BackendServerId unknown = new BackendServerId("unknown");
        assertThat(simulation.mDetector.evaluation(SERVICE, unknown, 0)).isEmpty();
    }

    @Example
    void serverThatIsFiveTimesSlowerIsPenalized() {
        Simulation simulation = new Simulation(2, 8);
        simulation.mSlowness[5] = 5;
        simulation.run(6_000, false);
        assertThat(simulation.penalty(5)).isGreaterThan(0.5);
        assertThat(simulation.penalized()).isEqualTo(1);
    }

    @Example
    void penalizedServerGetsTrialRequestsAndRecovers() {
        Simulation simulation = new Simulation(3, 8);
        simulation.mFailureShare[0] = 0.9;
        simulation.run(6_000, true);
        int before = simulation.mSent[0];
        simulation.run(12_000, true);
        assertThat(simulation.mSent[0] - before).as("trial requests").isBetween(2, 12);
        simulation.mFailureShare[0] = 0;
        simulation.run(20_000, true);
        assertThat(simulation.penalty(0)).isLessThan(0.05);
    }

    @Example
    void singleServerHasNoPenaltyAndFewCallsGiveOnlySmallOne() {
        Simulation alone = new Simulation(4, 1);
        alone.mFailureShare[0] = 1;
        alone.run(5_000, false);
        assertThat(alone.penalty(0)).isEqualTo(0);
        Simulation early = new Simulation(5, 4);
        early.mDetector.failed(SERVICE, early.id(0), 0);
        early.mDetector.succeeded(SERVICE, early.id(1), MILLI, 0);
        assertThat(early.penalty(0)).as("one failure of one call").isLessThan(0.4);
    }

    @Example
    void statisticsOfRemovedServersAreDropped() {
        Simulation simulation = new Simulation(6, 4);
        simulation.mFailureShare[1] = 1;
        simulation.run(6_000, false);
        simulation.mDetector.retain(Set.of(simulation.id(0)));
        assertThat(simulation.penalty(1)).isEqualTo(0);
    }

    @Property(seed = "20270307", tries = 100)
    void neverPenalizesMoreThanHalf(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int n) {
        Simulation simulation = new Simulation(seed, n);
        for (int round = 0; round < 20; round++) {
            for (int server = 0; server < n; server++) {
                simulation.mFailureShare[server] = simulation.mRandom.nextDouble();
                simulation.mSlowness[server] = 1 + simulation.mRandom.nextInt(9);
            }
            simulation.run(500, simulation.mRandom.nextBoolean());
            assertThat(simulation.penalized()).isLessThanOrEqualTo(n / 2);
        }
    }

    /** Simulation of servers that each get about four requests a second. */
    private static final class Simulation {

        private final Random mRandom;
        private final CallOutlierDetector mDetector =
                new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT);
        private final double[] mFailureShare;
        private final double[] mSlowness;
        private final int[] mSent;
        private long mNowNanos;

        Simulation(long seed, int servers) {
            mRandom = new Random(seed);
            mFailureShare = new double[servers];
            mSlowness = new double[servers];
            mSent = new int[servers];
            Arrays.fill(mSlowness, 1);
        }

        void run(int millis, boolean avoidsPenalized) {
            int servers = mSent.length;
            for (int step = 0; step < millis; step += 25) {
                mNowNanos += 25 * MILLI;
                int server = mRandom.nextInt(servers);
                boolean chosen = !avoidsPenalized || mRandom.nextDouble() >= 2 * penalty(server);
                if (mRandom.nextInt(10) < servers && chosen) {
                    call(server);
                }
            }
        }

        private void call(int server) {
            mSent[server]++;
            mDetector.sent(SERVICE, id(server), mNowNanos);
            if (mRandom.nextDouble() < mFailureShare[server]) {
                mDetector.failed(SERVICE, id(server), mNowNanos);
                return;
            }
            long latency = (long) (mSlowness[server] * (60 + mRandom.nextInt(80)) * MILLI);
            mDetector.succeeded(SERVICE, id(server), latency, mNowNanos);
        }

        BackendServerId id(int server) {
            return new BackendServerId("b" + server);
        }

        double penalty(int server) {
            return mDetector.penalty(SERVICE, id(server), mNowNanos);
        }

        int penalized() {
            int count = 0;
            for (int server = 0; server < mSent.length; server++) {
                count += penalty(server) > 0 ? 1 : 0;
            }
            return count;
        }
    }
}
