package io.masticpond.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Tests that the retries of all instances stay within the common bound in each window. */
final class SharedRetryBudgetTest {

    private static final long MILLI = 1_000_000L;
    private static final double RATIO = 0.2;
    private static final double SLACK = 60;
    private static final RetryBudgetSettings SETTINGS =
            new RetryBudgetSettings(RATIO, SLACK, Duration.ofSeconds(10), 0.8);

    /** Length of a time step of the simulation in milliseconds. */
    private static final int CELL = 50;

    private static final int WINDOW = 10_000 / CELL;
    private static final int CELLS = 90_000 / CELL;

    @Example
    void startsWithTheRatioOnlyAndGainsItsSlackLater() {
        SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0);
        assertThat(budget.left(9_999 * MILLI, 2)).isEqualTo(0);
        assertThat(budget.left(15_000 * MILLI, 2)).isEqualTo(12);
        assertThat(budget.left(20_000 * MILLI, 2)).isEqualTo(24);
        assertThat(budget.left(90_000 * MILLI, 2)).isEqualTo(24);
        SharedRetryBudget busy = new SharedRetryBudget(SETTINGS, 0);
        for (int request = 0; request < 100; request++) {
            busy.recordFirstAttempt(request * MILLI);
        }
        assertThat(busy.left(100 * MILLI, 2)).isCloseTo(16, within(1e-9));
    }

    @Example
    void reportsTheUsageOfTheWindow() {
        SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0);
        for (int request = 0; request < 100; request++) {
            budget.recordFirstAttempt(30_000 * MILLI);
        }
        assertThat(budget.tryRetry(30_001 * MILLI, 2)).isTrue();
        RetryBudgetUsage usage = budget.usage(30_002 * MILLI, 2);
        assertThat(usage.requests()).isEqualTo(100);
        assertThat(usage.used()).isEqualTo(1);
        assertThat(usage.bound()).isCloseTo(24 + 16, within(1e-9));
        assertThat(usage.left()).isCloseTo(24 + 16 - 1, within(1e-9));
        assertThat(budget.usage(45_000 * MILLI, 2).requests()).isZero();
    }

    @Example
    void sentRetriesStayCountedWhenTheBoundChanges() {
        SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0);
        for (int retry = 0; retry < 48; retry++) {
            assertThat(budget.tryRetry(30_000 * MILLI, 1)).isTrue();
        }
        budget.applySettings(new RetryBudgetSettings(RATIO, 70, Duration.ofSeconds(10), 0.8));
        assertThat(budget.left(30_000 * MILLI, 1)).isEqualTo(8);
        RetryBudgetSettings other = new RetryBudgetSettings(RATIO, 70, Duration.ofSeconds(9), 0.8);
        assertThatThrownBy(() -> budget.applySettings(other))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Example
    void sentRetriesStayCountedWhenTheFleetGrows() {
        SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0);
        for (int retry = 0; retry < 48; retry++) {
            assertThat(budget.tryRetry(30_000 * MILLI, 1)).isTrue();
        }
        assertThat(budget.tryRetry(30_000 * MILLI, 1)).isFalse();
        assertThat(budget.tryRetry(39_000 * MILLI, 4)).isFalse();
        assertThat(budget.left(41_000 * MILLI, 4)).isEqualTo(12);
    }

    @Example
    void shareOfRemovedInstancesIsTakenOverOneWindowLater() {
        SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0);
        assertThat(budget.left(30_000 * MILLI, 4)).isEqualTo(12);
        assertThat(budget.left(31_000 * MILLI, 1)).isEqualTo(12);
        assertThat(budget.left(35_000 * MILLI, 2)).isEqualTo(12);
        assertThat(budget.left(42_000 * MILLI, 1))
                .as("the maximum number seen meanwhile")
                .isEqualTo(24);
    }

    @Example
    void burstMoreThanHalfTheWindowAgoAllowsNoRetriesNow() {
        SharedRetryBudget budget = new SharedRetryBudget(SETTINGS, 0);
        for (int request = 0; request < 1_000; request++) {
            budget.recordFirstAttempt(1_000 * MILLI);
        }
        assertThat(budget.left(5_000 * MILLI, 1)).isCloseTo(160, within(1e-9));
        assertThat(budget.left(7_000 * MILLI, 1)).isEqualTo(0);
    }

    @Property(seed = "20270303", tries = 150)
    void neverExceedsTheCommonBound(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int n) {
        Fleet fleet = new Fleet(new Random(seed), n);
        for (int cell = 0; cell < CELLS; cell++) {
            fleet.step(cell);
        }
        long[] first = sums(fleet.mRequests);
        long[] retries = sums(fleet.mRetries);
        for (int start = 0; start + WINDOW <= CELLS; start++) {
            long maximum =
                    Math.max(
                            window(first, start),
                            Math.max(
                                    window(first, start - WINDOW / 2),
                                    window(first, start - WINDOW)));
            assertThat((double) window(retries, start))
                    .as("window from cell %d of %d instances", start, n)
                    .isLessThanOrEqualTo(RATIO * maximum + SLACK);
        }
        assertThat(retries[CELLS]).as("some retries").isPositive();
    }

    private static long[] sums(int[] counts) {
        long[] sums = new long[counts.length + 1];
        Arrays.setAll(sums, index -> index == 0 ? 0 : counts[index - 1]);
        Arrays.parallelPrefix(sums, Long::sum);
        return sums;
    }

    private static long window(long[] sums, int start) {
        return sums[start + WINDOW > 0 ? start + WINDOW : 0] - sums[Math.max(0, start)];
    }

    /**
     * Simulation of instances that start, stop and receive updates of each other late, and retry as
     * often as they can.
     */
    private static final class Fleet {

        private static final int UPDATE_DELAY_CELLS = 2_000 / CELL;

        private final Random mRandom;
        private final SharedRetryBudget[] mBudgets;
        private final Deque<Integer> mCounts = new ArrayDeque<>();
        private final int[] mRequests = new int[CELLS];
        private final int[] mRetries = new int[CELLS];
        private double mLoad = 1;
        private boolean mIsFailing = true;

        Fleet(Random random, int instances) {
            mRandom = random;
            mBudgets = new SharedRetryBudget[instances];
            for (int index = 0; index < instances; index++) {
                mBudgets[index] = new SharedRetryBudget(SETTINGS, 0);
            }
        }

        void step(int cell) {
            restartSome(cell);
            if (mRandom.nextInt(40) == 0) {
                mLoad = mRandom.nextInt(3) == 0 ? 0 : mRandom.nextDouble() * 6;
                mIsFailing = mRandom.nextInt(3) > 0;
            }
            int alive = (int) Arrays.stream(mBudgets).filter(each -> each != null).count();
            mCounts.addLast(alive);
            int received =
                    mCounts.size() > UPDATE_DELAY_CELLS
                            ? mCounts.removeFirst()
                            : mCounts.peekFirst();
            for (SharedRetryBudget budget : mBudgets) {
                if (budget != null) {
                    send(budget, cell, Math.max(1, mRandom.nextBoolean() ? received : alive));
                }
            }
        }

        private void restartSome(int cell) {
            for (int index = 0; index < mBudgets.length; index++) {
                if (mRandom.nextInt(300) > 0) {
                    continue;
                }
                mBudgets[index] =
                        mBudgets[index] == null
                                ? new SharedRetryBudget(SETTINGS, MILLI * CELL * cell)
                                : null;
            }
        }

        private void send(SharedRetryBudget budget, int cell, int shareholders) {
            long nanos = MILLI * CELL * cell;
            int requests = (int) (mLoad * mRandom.nextDouble() * 2);
            for (int request = 0; request < requests; request++) {
                budget.recordFirstAttempt(nanos);
                mRequests[cell]++;
            }
            int tries = mIsFailing ? 4 + requests : 0;
            for (int retry = 0; retry < tries; retry++) {
                if (budget.tryRetry(nanos, shareholders)) {
                    mRetries[cell]++;
                }
            }
        }
    }
}
