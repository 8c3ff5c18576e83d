package io.masticpond.measure.spending;

import io.masticpond.core.spending.AllotmentPolicy;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Cuts instances off from the platform one after the other, and sees how long each goes on.
 *
 * <p>The demand is nine tenths of the cap, so that no refusal comes from the cap.
 */
final class CutOffRun {

    private static final Duration FIRST_CUT = Duration.ofMinutes(20);
    private static final Duration BETWEEN_CUTS = Duration.ofSeconds(97);
    private static final double DEMAND = 0.9;
    private static final double NANOS_PER_SECOND = 1e9;

    private final SpendingSimulation mSimulation;
    private final Map<SpendingNode, Long> mCuts = new HashMap<>();
    private double mStrandedSum;
    private double mSecondsSum;
    private double mLeastSeconds = Double.POSITIVE_INFINITY;
    private int mEnded;
    private double mWritesPerSecond;

    CutOffRun(AllotmentPolicy policy, long seed) {
        mSimulation =
                new SpendingSimulation(SpendingScenario.ofNine(policy).withDemand(DEMAND), seed);
        mSimulation.onRefusal(this::refused);
    }

    void run(int cuts) {
        long moment = FIRST_CUT.toNanos();
        mSimulation.runUntil(moment);
        mWritesPerSecond = mSimulation.platform().writes() / (moment / NANOS_PER_SECOND);
        for (int cut = 0; cut < cuts; cut++) {
            cut(mSimulation.nodes().get(cut));
            moment += BETWEEN_CUTS.toNanos();
            mSimulation.runUntil(moment);
        }
        while (mEnded < cuts) {
            moment += BETWEEN_CUTS.toNanos();
            mSimulation.runUntil(moment);
        }
    }

    double meanSeconds() {
        return mSecondsSum / mEnded;
    }

    double minimumSeconds() {
        return mLeastSeconds;
    }

    double strandedShare() {
        return mStrandedSum / mEnded;
    }

    double writesPerSecond() {
        return mWritesPerSecond;
    }

    private void cut(SpendingNode node) {
        mStrandedSum +=
                (double) node.availableMicros(SpendingSimulation.FIRST) / mSimulation.capMicros();
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
        mLeastSeconds = Math.min(mLeastSeconds, seconds);
        mEnded++;
    }
}
