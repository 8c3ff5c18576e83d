package io.masticpond.measure.decision;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.ServerEvaluation;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/**
 * Tests for the decisions under simulated load patterns. Each bound lies halfway between the
 * figures with and without the mechanism that it protects, for the same seed.
 */
class LoadPatternTest {

    @Example
    void sameSeedGivesSameFigures() {
        DecisionStatistics first = simulate(LoadPattern.SERVERS_SLOW, DecisionVariant.AS_IT_IS, 3);
        DecisionStatistics second = simulate(LoadPattern.SERVERS_SLOW, DecisionVariant.AS_IT_IS, 3);
        assertThat(first.utility()).isEqualTo(second.utility()).isBetween(0.5, 1.0);
        assertThat(first.serverRejections()).isEqualTo(second.serverRejections());
    }

    /**
     * The share of sends to other regions is 0.308 if a server that rejects a request is avoided
     * regardless of the load that it reports, and 0.278 otherwise.
     */
    @Example
    void sheddingServiceMovesNoKeysToOtherRegions() {
        DecisionStatistics statistics =
                simulate(LoadPattern.SERVICE_SHEDS, DecisionVariant.AS_IT_IS, 1);
        assertThat(statistics.otherRegionSendShare()).isLessThan(0.293);
    }

    /**
     * Servers reject 545 sends if each is avoided for a moment only, and 229 if the outlier
     * detector evaluates them.
     */
    @Example
    void avoidsServersThatShedWhileOthersDoNot() {
        DecisionStatistics statistics =
                simulate(LoadPattern.SERVERS_SHED, DecisionVariant.AS_IT_IS, 1);
        assertThat(statistics.serverRejections()).isLessThan(390);
    }

    /**
     * The share of bytes from other regions is a third if distance has the same cost for answers of
     * all sizes, and 0.04 otherwise.
     */
    @Example
    void fewLargeAnswersCrossRegions() {
        DecisionStatistics statistics =
                simulate(LoadPattern.COLD_START, DecisionVariant.AS_IT_IS, 1);
        assertThat(statistics.otherRegionSendShare()).isGreaterThan(0.2);
        assertThat(statistics.otherRegionByteShare()).isLessThan(0.15);
    }

    /**
     * Guards against simulated instances that record no failure of a server which does not answer,
     * so that the simulation shows nothing of the outlier detector.
     */
    @Example
    void instancesRecordCallsThatWereNotAnsweredInTime() {
        DecisionSimulation simulation =
                new DecisionSimulation(
                        DecisionScenario.TEN_INSTANCES,
                        DecisionVariant.AS_IT_IS,
                        LoadPattern.COLD_START,
                        1);
        simulation.atSecond(8, () -> simulation.terminateServers(0.12));
        simulation.run();
        ModelInstance instance = simulation.instance(new ZoneId("zone-0")).orElseThrow();
        long nowNanos = simulation.clock().nowNanos();
        List<ServerEvaluation> failing =
                DecisionScenario.TEN_INSTANCES.serverGroups().stream()
                        .flatMap(group -> instance.servers().of(group.service()).stream())
                        .map(load -> evaluation(instance, load.server(), nowNanos))
                        .flatMap(Optional::stream)
                        .filter(each -> each.failureShare() > 0.5)
                        .toList();
        assertThat(failing).isNotEmpty();
    }

    private static Optional<ServerEvaluation> evaluation(
            ModelInstance instance, RegisteredServer server, long nowNanos) {
        return instance.placer()
                .chooser()
                .outlierDetector()
                .evaluation(server.service(), server.id(), nowNanos);
    }

    /** In the benchmark, utility is 0.547 and 0.470 with spreading and 0.613 and 0.573 without. */
    @Example
    void spreadingKeysByConstantsIsWorseWithFewServers() {
        double spread =
                simulate(LoadPattern.ZONE_EVACUATED, DecisionVariant.FOUR_HOMES, 1).utility();
        double withDefaultPlacement =
                simulate(LoadPattern.ZONE_EVACUATED, DecisionVariant.NO_SHARED_LOADS, 1).utility();
        assertThat(spread).isLessThan(withDefaultPlacement - 0.03);
    }

    /**
     * With a hundred instances, each receives an answer from a given server once in half a minute,
     * but a queue lasts a second. The share of late answers is 0.24 if each instance uses only the
     * loads that it receives itself, and 0.15 if the instances of a zone share them.
     */
    @Example
    void sharingLoadsReducesLateAnswersInLargeFleet() {
        double alone = meanLateShare(DecisionVariant.NO_SHARED_LOADS);
        double shared = meanLateShare(DecisionVariant.AS_IT_IS);
        assertThat(shared).isLessThan(0.75 * alone);
    }

    private static double meanLateShare(DecisionVariant variant) {
        double lateSum = 0;
        for (long seed = 1; seed <= 2; seed++) {
            lateSum +=
                    new DecisionSimulation(DecisionScenario.FLEET, variant, LoadPattern.BURST, seed)
                            .run()
                            .share(DecisionStatistics.Outcome.LATE);
        }
        return lateSum / 2;
    }

    private static DecisionStatistics simulate(
            LoadPattern pattern, DecisionVariant variant, long seed) {
        return new DecisionSimulation(DecisionScenario.TEN_INSTANCES, variant, pattern, seed).run();
    }
}
