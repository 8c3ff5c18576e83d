package io.masticpond.measure.rate;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Tests for the rate of a workspace over all instances, under each pattern of load and faults. */
class RatePatternTest {

    private static RateStatistics simulate(
            int instances, double typicalRate, RatePattern pattern, long seed) {
        RateScenario scenario = new RateScenario(instances, 3, typicalRate);
        return new RateSimulation(scenario, RateSharingStrategy.SHARED_CREDIT, pattern, seed).run();
    }

    @Property(tries = 40, seed = "27")
    void noWindowHoldsMoreThanTheBound(
            @ForAll @IntRange(min = 6, max = 100) int instances,
            @ForAll @IntRange(min = 1, max = 150) int typicalRate,
            @ForAll RatePattern pattern,
            @ForAll @LongRange(min = 1, max = 1_000) long seed) {
        assertThat(simulate(instances, typicalRate, pattern, seed).worstWindow())
                .as("%s at %d instances, %d a second", pattern, instances, typicalRate)
                .isLessThanOrEqualTo(1);
    }

    @Example
    void hotWorkspaceIsServedMostOfWhatOneBucketAdmits() {
        assertThat(simulate(67, 100, RatePattern.HOT, 1).servedShare()).isGreaterThan(0.85);
    }

    @Example
    void partitionedRegionsKeepServingTheirParts() {
        assertThat(simulate(67, 100, RatePattern.CUT, 1).servedShare()).isGreaterThan(0.9);
    }

    @Example
    void doesNotRefuseSmallWorkspaceWhosePartPerInstanceIsBelowOneRequest() {
        RateStatistics statistics = simulate(67, 2, RatePattern.CALM, 1);
        assertThat(statistics.refusedBelowRate()).isZero();
        assertThat(statistics.servedShare()).isGreaterThanOrEqualTo(0.98);
    }

    @Example
    void sameSeedGivesTheSameResult() {
        assertThat(simulate(10, 20, RatePattern.HOT, 5).servedShare())
                .isEqualTo(simulate(10, 20, RatePattern.HOT, 5).servedShare());
    }
}
