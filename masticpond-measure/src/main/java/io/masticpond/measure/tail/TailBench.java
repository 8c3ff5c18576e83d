package io.masticpond.measure.tail;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/** Runner of every policy under every load, with several seeds. */
final class TailBench {

    private static final int SEEDS = 3;

    private TailBench() {}

    /**
     * Runs all policies of all scenarios.
     *
     * @param scenarios the loads
     * @param seed the first seed
     * @return the results by load and policy
     */
    static Map<TailScenario, Map<TailPolicyKind, TailResult>> run(
            List<TailScenario> scenarios, long seed) {
        Map<TailScenario, Map<TailPolicyKind, TailResult>> results = new LinkedHashMap<>();
        for (TailScenario scenario : scenarios) {
            Map<TailPolicyKind, TailResult> resultsByKind = new EnumMap<>(TailPolicyKind.class);
            for (TailPolicyKind kind : scenario.policies()) {
                resultsByKind.put(kind, runSeeds(scenario, kind, seed));
            }
            results.put(scenario, resultsByKind);
        }
        return results;
    }

    private static TailResult runSeeds(TailScenario scenario, TailPolicyKind kind, long seed) {
        return LongStream.range(seed, seed + SEEDS)
                .parallel()
                .mapToObj(each -> runOnce(scenario, kind, each))
                .reduce(TailResult::merge)
                .orElseThrow();
    }

    private static TailResult runOnce(TailScenario scenario, TailPolicyKind kind, long seed) {
        Workload workload =
                Workload.draw(scenario, TailTopology.SLOTS, TailTopology.INSTANCES, seed);
        TailRun run = new TailRun(workload);
        run.run(kind);
        return new TailResult(
                run.latencies(), run.refusedCount(), run.peakUse(), run.overloadedNanos());
    }
}
