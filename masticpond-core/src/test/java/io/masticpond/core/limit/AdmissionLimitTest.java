package io.masticpond.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Tests that less urgent requests are refused first and on arrival, with a time after which to
 * retry.
 */
final class AdmissionLimitTest {

    private static final long MILLI = 1_000_000L;
    private static final int TARGET_MILLIS = 400;
    private static final int DEADLINE_MILLIS = 2_000;
    private static final ServiceId SERVICE = new ServiceId("s");

    @Example
    void refusesNothingWhileSlotsAreFree() {
        AdmissionLimit limit = limit(0, 1, 2);
        for (int priority = 0; priority < 3; priority++) {
            assertThat(admits(limit, priority, 7, DEADLINE_MILLIS)).isTrue();
        }
    }

    @Example
    void maximumWaitDependsOnTheRank() {
        AdmissionLimit limit = limit(0, 3, 9);
        assertThat(longestWait(limit, 9)).isEqualTo(100);
        assertThat(longestWait(limit, 3)).isEqualTo(250);
        assertThat(longestWait(limit, 0))
                .as("0.9 of the deadline less the service")
                .isEqualTo(1700);
        assertThat(longestWait(limit(5), 5)).as("a lone priority").isEqualTo(400);
    }

    @Example
    void mostUrgentIsRefusedOnlyIfItsDeadlineCannotBeMet() {
        AdmissionLimit limit = limit(0, 1);
        assertThat(admits(limit, 0, 8 + 31, 600)).isTrue();
        assertThat(admits(limit, 0, 8 + 39, 600)).isFalse();
    }

    @Example
    void idlePrioritiesHaveNoRank() {
        AdmissionLimit limit = limit();
        for (int each = 0; each < 200; each++) {
            long now = each * 5 * MILLI;
            limit.arrived(route(4, SERVICE), now);
            if (each % 50 == 0) {
                limit.arrived(route(each / 50, SERVICE), now);
            }
        }
        assertThat(longestWait(limit, 4)).as("behind four idle routes").isEqualTo(400);
    }

    @Example
    void priorityWithoutRecentRequestsLosesItsRank() {
        AdmissionLimit limit = limit(0, 1);
        assertThat(longestWait(limit, 1)).isEqualTo(100);
        for (int millis = 0; millis < 30_000; millis += 10) {
            limit.arrived(route(1, SERVICE), millis * MILLI);
        }
        assertThat(longestWait(limit, 1)).isEqualTo(400);
    }

    @Property(seed = "20270305", tries = 300)
    void retryAfterIsWithinTheRemainingTimeAndTheExpectedWait(
            @ForAll @IntRange(max = 20) int slots,
            @ForAll @IntRange(max = 500) int inFlight,
            @ForAll @IntRange(max = 3_000) int leftMillis) {
        ServiceLoad load = new ServiceLoad(slots, inFlight, 100 * MILLI);
        long left = leftMillis * MILLI;
        AdmissionDecision decision = limit(0, 1).decide(route(1, SERVICE), load, left);
        if (decision.admitted()) {
            return;
        }
        assertThat(decision.retryAfterNanos()).isLessThanOrEqualTo(left / 3);
        assertThat(decision.retryAfterNanos())
                .isGreaterThanOrEqualTo(Math.min(left / 3, 50 * MILLI));
        if (slots > 0) {
            long expected = Math.max(50 * MILLI, load.expectedWaitNanos() * 3 / 2);
            assertThat(decision.retryAfterNanos()).isLessThanOrEqualTo(expected);
        }
    }

    @Property(seed = "20270306", tries = 20)
    void overloadAffectsTheLeastUrgentFirst(@ForAll long seed) {
        Overload overload = new Overload(new Random(seed));
        for (int millis = 0; millis < 30_000; millis++) {
            overload.step(millis, millis < 30_000 - DEADLINE_MILLIS);
        }
        double[] served = overload.servedShares();
        assertThat(served[0]).as("most urgent").isEqualTo(1);
        assertThat(served[1]).as("second").isGreaterThan(0.85).isGreaterThan(served[2]);
        assertThat(served[0] + served[1] + served[2]).as("no slot idles").isBetween(1.9, 2.15);
    }

    /**
     * Simulation of a service with 8 slots that receives 1.5 times its capacity, half of the
     * capacity with each of three priorities.
     */
    private static final class Overload {

        private static final int SLOTS = 8;
        private static final int SERVICE_MILLIS = 100;
        private static final double ARRIVALS_PER_MILLI = 0.5 * SLOTS / SERVICE_MILLIS;

        private final Random mRandom;
        private final AdmissionLimit mLimit = limit(0, 1, 2);
        private final Deque<int[]> mQueue = new ArrayDeque<>();
        private final long[] mBusyUntil = new long[SLOTS];
        private final int[] mArrived = new int[3];
        private final int[] mServed = new int[3];

        Overload(Random random) {
            mRandom = random;
        }

        void step(int millis, boolean arrivals) {
            for (int priority = 0; priority < 3; priority++) {
                if (arrivals && mRandom.nextDouble() < ARRIVALS_PER_MILLI) {
                    arrive(priority, millis);
                }
            }
            for (int slot = 0; slot < SLOTS; slot++) {
                if (mBusyUntil[slot] <= millis && !mQueue.isEmpty()) {
                    int[] next = mQueue.removeFirst();
                    mBusyUntil[slot] = millis + 50L + mRandom.nextInt(100);
                    if (mBusyUntil[slot] - next[1] <= DEADLINE_MILLIS) {
                        mServed[next[0]]++;
                    }
                }
            }
        }

        private void arrive(int priority, int millis) {
            mArrived[priority]++;
            mLimit.arrived(route(priority, SERVICE), millis * MILLI);
            int busy = (int) Arrays.stream(mBusyUntil).filter(until -> until > millis).count();
            ServiceLoad load = new ServiceLoad(SLOTS, busy + mQueue.size(), SERVICE_MILLIS * MILLI);
            if (mLimit.decide(route(priority, SERVICE), load, DEADLINE_MILLIS * MILLI).admitted()) {
                mQueue.addLast(new int[] {priority, millis});
            }
        }

        double[] servedShares() {
            double[] shares = new double[3];
            Arrays.setAll(shares, index -> (double) mServed[index] / mArrived[index]);
            return shares;
        }
    }

    /** Returns the longest admitted expected wait in milliseconds, in steps of 12.5. */
    private static int longestWait(AdmissionLimit limit, int priority) {
        int inFlight = 7;
        while (admits(limit, priority, inFlight + 1, DEADLINE_MILLIS)) {
            inFlight++;
        }
        return (int) (load(inFlight).expectedWaitNanos() / MILLI);
    }

    private static boolean admits(
            AdmissionLimit limit, int priority, int inFlight, int leftMillis) {
        return limit.decide(route(priority, SERVICE), load(inFlight), leftMillis * MILLI)
                .admitted();
    }

    private static ServiceLoad load(int inFlight) {
        return new ServiceLoad(8, inFlight, 100 * MILLI);
    }

    private static AdmissionLimit limit(Integer... priorities) {
        AdmissionLimit limit =
                new AdmissionLimit(
                        AdmissionLimitSettings.DEFAULT, RandomSource.SPLIT_MIX_64.create(1L));
        for (int priority : priorities) {
            limit.arrived(route(priority, SERVICE), 0);
        }
        return limit;
    }

    private static Route route(int priority, ServiceId service) {
        return new Route(
                new RouteId("r" + priority),
                "h",
                "/",
                true,
                Duration.ofMillis(DEADLINE_MILLIS),
                Duration.ofMillis(TARGET_MILLIS),
                priority,
                2,
                false,
                Set.of(),
                List.of(new WeightedService(service, 1)));
    }
}
