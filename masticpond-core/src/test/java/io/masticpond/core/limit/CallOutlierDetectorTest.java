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

/** Servers that fail or are slow beside their peers get a penalty and can lose it again. */
final class CallOutlierDetectorTest {

    private static final long MILLI = 1_000_000L;
    private static final ServiceId SERVICE = new ServiceId("s");

    @Example
    void serverThatFailsHalfOfItsRequestsIsCondemned() {
        World world = new World(1, 8);
        world.mFailureShare[3] = 0.5;
        world.run(6_000, false);
        assertThat(world.penalty(3)).isGreaterThan(0.5);
        assertThat(world.penalized()).isEqualTo(1);
    }

    @Example
    void whatIsHeldAgainstServerIsTold() {
        World world = new World(1, 8);
        world.mFailureShare[3] = 0.5;
        world.run(6_000, false);
        ServerEvaluation judgement =
                world.mJudge.evaluation(SERVICE, world.id(3), 6_000 * MILLI).orElseThrow();
        assertThat(judgement.failureShare()).isBetween(0.3, 0.7);
        assertThat(judgement.penalty()).isGreaterThan(0.5);
        BackendServerId unknown = new BackendServerId("unknown");
        assertThat(world.mJudge.evaluation(SERVICE, unknown, 0)).isEmpty();
    }

    @Example
    void serverThatIsFiveTimesSlowerIsCondemned() {
        World world = new World(2, 8);
        world.mSlowness[5] = 5;
        world.run(6_000, false);
        assertThat(world.penalty(5)).isGreaterThan(0.5);
        assertThat(world.penalized()).isEqualTo(1);
    }

    @Example
    void condemnedServerGetsOneRequestAtTimesAndRecovers() {
        World world = new World(3, 8);
        world.mFailureShare[0] = 0.9;
        world.run(6_000, true);
        int before = world.mSent[0];
        world.run(12_000, true);
        assertThat(world.mSent[0] - before).as("a trickle").isBetween(2, 12);
        world.mFailureShare[0] = 0;
        world.run(20_000, true);
        assertThat(world.penalty(0)).isLessThan(0.05);
    }

    @Example
    void recordOfOneServerAloneOrOfFewCallsCondemnsNothing() {
        World alone = new World(4, 1);
        alone.mFailureShare[0] = 1;
        alone.run(5_000, false);
        assertThat(alone.penalty(0)).isEqualTo(0);
        World early = new World(5, 4);
        early.mJudge.failed(SERVICE, early.id(0), 0);
        early.mJudge.succeeded(SERVICE, early.id(1), MILLI, 0);
        assertThat(early.penalty(0)).as("one failure of one call").isLessThan(0.4);
    }

    @Example
    void serversThatAreGoneAreForgotten() {
        World world = new World(6, 4);
        world.mFailureShare[1] = 1;
        world.run(6_000, false);
        world.mJudge.retain(Set.of(world.id(0)));
        assertThat(world.penalty(1)).isEqualTo(0);
    }

    @Property(seed = "20270307", tries = 100)
    void neverCondemnsMoreThanHalf(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int n) {
        World world = new World(seed, n);
        for (int round = 0; round < 20; round++) {
            for (int server = 0; server < n; server++) {
                world.mFailureShare[server] = world.mRandom.nextDouble();
                world.mSlowness[server] = 1 + world.mRandom.nextInt(9);
            }
            world.run(500, world.mRandom.nextBoolean());
            assertThat(world.penalized()).isLessThanOrEqualTo(n / 2);
        }
    }

    /** Servers that each get some four requests a second. */
    private static final class World {

        private final Random mRandom;
        private final CallOutlierDetector mJudge =
                new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT);
        private final double[] mFailureShare;
        private final double[] mSlowness;
        private final int[] mSent;
        private long mNowNanos;

        World(long seed, int servers) {
            mRandom = new Random(seed);
            mFailureShare = new double[servers];
            mSlowness = new double[servers];
            mSent = new int[servers];
            Arrays.fill(mSlowness, 1);
        }

        void run(int millis, boolean avoids) {
            int servers = mSent.length;
            for (int step = 0; step < millis; step += 25) {
                mNowNanos += 25 * MILLI;
                int server = mRandom.nextInt(servers);
                boolean chosen = !avoids || mRandom.nextDouble() >= 2 * penalty(server);
                if (mRandom.nextInt(10) < servers && chosen) {
                    call(server);
                }
            }
        }

        private void call(int server) {
            mSent[server]++;
            mJudge.sent(SERVICE, id(server), mNowNanos);
            if (mRandom.nextDouble() < mFailureShare[server]) {
                mJudge.failed(SERVICE, id(server), mNowNanos);
                return;
            }
            long latency = (long) (mSlowness[server] * (60 + mRandom.nextInt(80)) * MILLI);
            mJudge.succeeded(SERVICE, id(server), latency, mNowNanos);
        }

        BackendServerId id(int server) {
            return new BackendServerId("b" + server);
        }

        double penalty(int server) {
            return mJudge.penalty(SERVICE, id(server), mNowNanos);
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
