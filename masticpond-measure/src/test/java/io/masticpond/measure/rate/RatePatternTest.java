package io.masticpond.measure.rate;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** The rate of a workspace over all instances, whatever comes and whatever fails. */
class RatePatternTest {

    private static RateStatistics play(
            int instances, double usual, RatePattern pattern, long seed) {
        RateScenario shape = new RateScenario(instances, 3, usual);
        return new RateSimulation(shape, RateSharingStrategy.SHARED_CREDIT, pattern, seed).run();
    }

    @Property(tries = 40, seed = "27")
    void noWindowHoldsMoreThanTheBound(
            @ForAll @IntRange(min = 6, max = 100) int instances,
            @ForAll @IntRange(min = 1, max = 150) int usual,
            @ForAll RatePattern pattern,
            @ForAll @LongRange(min = 1, max = 1_000) long seed) {
        assertThat(play(instances, usual, pattern, seed).worst())
                .as("%s at %d instances, %d a second", pattern, instances, usual)
                .isLessThanOrEqualTo(1);
    }

    @Example
    void hotWorkspaceGetsMostOfWhatOneBucketWouldGive() {
        assertThat(play(67, 100, RatePattern.HOT, 1).served()).isGreaterThan(0.85);
    }

    @Example
    void regionsThatAreCutGoOnWithTheirParts() {
        assertThat(play(67, 100, RatePattern.CUT, 1).served()).isGreaterThan(0.9);
    }

    @Example
    void smallWorkspaceIsNotRefusedThoughItsPartOfAnInstanceIsLessThanOneRequest() {
        RateStatistics tally = play(67, 2, RatePattern.CALM, 1);
        assertThat(tally.refusedBelow()).isZero();
        assertThat(tally.served()).isGreaterThanOrEqualTo(0.98);
    }

    @Example
    void eachWayIsPlayedAlikeWithTheSameSeed() {
        assertThat(play(10, 20, RatePattern.HOT, 5).served())
                .isEqualTo(play(10, 20, RatePattern.HOT, 5).served());
    }
}
