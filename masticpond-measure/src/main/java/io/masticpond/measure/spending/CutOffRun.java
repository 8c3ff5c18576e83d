package io.masticpond.measure.spending;

import io.masticpond.core.spending.AllotmentPolicy;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Simulation run that cuts instances off from the platform one after another and measures how long
 * each continues to accept requests.
 *
 * <p>The demand is nine tenths of the cap, so that no refusal is due to the cap.
 */
final class CutOffRun {

    private static final Duration FIRST_CUT = Duration.ofMinutes(20);
    private static final Duration CUT_INTERVAL = Duration.ofSeconds(97);
    private static final double DEMAND = 0.9;
    private static final double NANOS_PER_SECOND = 1e9;

    private final SpendingSimulation mSimulation;
    private final Map<SpendingNode, Long> mCuts = new HashMap<>();
    private double mStrandedShareSum;
    private double mSecondsSum;
    private double mMinSeconds = Double.POSITIVE_INFINITY;
    private int mRefusedNodes;
    private double mWritesPerSecond;

    CutOffRun(AllotmentPolicy policy, long seed) {
        mSimulation =
                new SpendingSimulation(SpendingScenario.ofNine(policy).withDemand(DEMAND), seed);
        mSimulation.setRefusalListener(this::refused);
    }

    void run(int cuts) {
        long untilNanos = FIRST_CUT.toNanos();
        mSimulation.runUntil(untilNanos);
        mWritesPerSecond = mSimulation.platform().writes() / (untilNanos / NANOS_PER_SECOND);
        for (int cut = 0; cut < cuts; cut++) {
            cut(mSimulation.nodes().get(cut));
            untilNanos += CUT_INTERVAL.toNanos();
            mSimulation.runUntil(untilNanos);
        }
        while (mRefusedNodes < cuts) {
            untilNanos += CUT_INTERVAL.toNanos();
            mSimulation.runUntil(untilNanos);
        }
    }

    double meanSeconds() {
        return mSecondsSum / mRefusedNodes;
    }

    double minimumSeconds() {
        return mMinSeconds;
    }

    double strandedShare() {
        return mStrandedShareSum / mRefusedNodes;
    }

    double writesPerSecond() {
        return mWritesPerSecond;
    }

    private void cut(SpendingNode node) {
        mStrandedShareSum +=
                (double) node.availableMicros(SpendingSimulation.FIRST_LEDGER)
                        / mSimulation.capMicros();
        mCuts.put(node, mSimulation.events().nanos());
        node.cutOff();
    }

    private void refused(SpendingNode node) {
        Long since = mCuts.remove(node);
        if (since == null) {
            return;
        }
        double seconds = (mSimulation.events().nanos() - since) / NANOS_PER_SECOND;
        mSecondsSum += seconds;
        mMinSeconds = Math.min(mMinSeconds, seconds);
        mRefusedNodes++;
    }
}
