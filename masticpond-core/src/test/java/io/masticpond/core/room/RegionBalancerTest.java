package io.masticpond.core.room;

import static io.masticpond.core.room.RegionSimulation.difference;
import static io.masticpond.core.room.RegionSimulation.zone;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.loadcontrol.LoadControlMode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests that load is shifted from full regions to others, and that nothing else moves keys. */
class RegionBalancerTest {

    private static final int[] ALL = {0, 1, 2};

    /** A step may move a third of the bound; a key that is drawn twice adds some 0.005. */
    private static final double STEP = RegionSimulation.REGION_SHIFT / 3;

    private final RegionSimulation mSimulation = new RegionSimulation(LoadControlMode.ON);

    /** Guards against a small region that is full at each crest of its demand. */
    @Example
    void waveRoundRegions() {
        mSimulation.advanceSeconds(40, true, ALL);
        double without = 0;
        double with = 0;
        double withElsewhere = 0;
        for (int second = 0; second < 72; second++) {
            mSimulation.advanceSeconds(1, true, ALL);
            without = Math.max(without, mSimulation.utilization(0, true, false));
            with = Math.max(with, mSimulation.utilization(0, true, true));
            withElsewhere = Math.max(withElsewhere, mSimulation.utilization(1, true, true));
            withElsewhere = Math.max(withElsewhere, mSimulation.utilization(2, true, true));
        }
        System.out.printf(
                "waveRoundRegions: without %.3f with %.3f elsewhere %.3f%n",
                without, with, withElsewhere);
        assertThat(without).isGreaterThan(1.15);
        assertThat(with).isLessThan(0.95);
        assertThat(withElsewhere).isLessThan(0.95);
    }

    /** Guards against steps that go on although nothing changes. */
    @Example
    void oneRegionHasTenthOfServers() {
        mSimulation.mScale = region -> region == 0 ? 1.3 : 0.9;
        assertThat(mSimulation.utilization(0, false, false)).isGreaterThan(0.95);
        mSimulation.advanceSeconds(20, false, ALL);
        assertThat(mSimulation.utilization(0, false, true)).isLessThan(0.88);
        int[] homes = mSimulation.homes(0, true);
        mSimulation.advanceSeconds(60, false, ALL);
        assertThat(mSimulation.homes(0, true)).isEqualTo(homes);
    }

    /** Guards against cache misses at a load that all regions can process. */
    @Example
    void loadBelowThresholdMovesNoKeys() {
        mSimulation.mScale = region -> 0.6;
        mSimulation.advanceSeconds(72, true, ALL);
        assertThat(mSimulation.homes(0, true)).isEqualTo(mSimulation.homes(0, false));
    }

    /** Guards against keys that move out of a full region although no other has free slots. */
    @Example
    void fullRegionsKeepTheirKeys() {
        mSimulation.mScale = region -> 2.5;
        mSimulation.advanceSeconds(20, false, ALL);
        assertThat(mSimulation.homes(0, true)).isEqualTo(mSimulation.homes(0, false));
    }

    /** Guards against weights that change for services whose servers report no times. */
    @Example
    void inactiveServiceIsNotChangedAndReturnsInSteps() {
        RegionSimulation simulation = new RegionSimulation(LoadControlMode.AUTOMATIC);
        simulation.advanceSeconds(20, true, ALL);
        assertThat(simulation.factor(0)).isEqualTo(1);
        simulation.mActivation.recordTimeReport(RegionSimulation.SERVICE, simulation.nanos());
        simulation.mScale = region -> region == 0 ? 1.5 : 0.9;
        simulation.advanceSeconds(20, false, ALL);
        double lowered = simulation.factor(0);
        assertThat(lowered).isLessThan(0.7);
        simulation.advanceSeconds(41, false, ALL);
        assertThat(simulation.factor(0)).isBetween(lowered * 1.1, 0.9);
        simulation.advanceSeconds(30, false, ALL);
        assertThat(simulation.factor(0)).isEqualTo(1);
    }

    /** Guards against a jump of the weights when the reports of a region stop arriving. */
    @Example
    void regionCutWhileItsReportsAreCountedOn() {
        mSimulation.mScale = region -> region == 0 ? 1.5 : 0.9;
        mSimulation.advanceSeconds(30, false, ALL);
        double factor = mSimulation.factor(0);
        int[] homes = mSimulation.homes(1, true);
        mSimulation.advanceSeconds(5, false, 1, 2);
        assertThat(mSimulation.factor(0)).as("the last value is kept").isEqualTo(factor);
        mSimulation.advanceSeconds(2, false, 1, 2);
        assertThat(difference(homes, mSimulation.homes(1, true))).isLessThan(STEP);
        mSimulation.advanceSeconds(30, false, 1, 2);
        assertThat(mSimulation.factor(0)).as("the mean of the others").isGreaterThan(factor);
        mSimulation.advanceSeconds(30, false, ALL);
        assertThat(mSimulation.factor(0)).isBetween(factor * 0.84, factor * 1.19);
    }

    /** Guards against a surge of keys to a region whose servers return. */
    @Example
    void regionLosesAllServersAndGetsThemBack() {
        mSimulation.mScale = region -> region == 0 ? 1.5 : 0.9;
        mSimulation.advanceSeconds(30, false, ALL);
        double factor = mSimulation.factor(0);
        mSimulation.register(1, 2);
        mSimulation.advanceSeconds(30, false, ALL);
        assertThat(mSimulation.homes(0, true)).doesNotContain(0);
        mSimulation.register(ALL);
        mSimulation.advance(false, ALL);
        assertThat(mSimulation.factor(0)).isEqualTo(factor);
        assertThat(mSimulation.utilization(0, false, true)).isLessThan(0.95);
    }

    /** Guards against instances of a region that place the same keys differently. */
    @Example
    void instancesWhoseViewsDifferSlightly() {
        Random random = new Random(17);
        List<RegionSimulation> instances = new ArrayList<>();
        for (int each = 0; each < 6; each++) {
            RegionSimulation instance = new RegionSimulation(LoadControlMode.ON);
            instance.mNowMillis += random.nextInt(2_000);
            instance.mOccupationScale = 0.97 + 0.06 * random.nextDouble();
            instances.add(instance);
        }
        double greatest = 0;
        double sum = 0;
        int pairs = 0;
        for (int second = 0; second < 108; second++) {
            List<int[]> homes = new ArrayList<>();
            for (RegionSimulation instance : instances) {
                while (instance.mNowMillis < 4_000 + 1_000L * second) {
                    for (int zone = 0; zone < 6; zone++) {
                        instance.mNoise.put(zone(zone), 0.97 + 0.06 * random.nextDouble());
                    }
                    instance.advance(true, ALL);
                }
                homes.add(instance.homes(0, true));
            }
            for (int each = 1; each < homes.size() && second >= 36; each++) {
                double different = difference(homes.get(0), homes.get(each));
                greatest = Math.max(greatest, different);
                sum += different;
                pairs++;
            }
        }
        System.out.printf("views differ: greatest %.4f mean %.4f%n", greatest, sum / pairs);
        assertThat(greatest).isLessThan(0.1);
        assertThat(sum / pairs).isLessThan(0.03);
    }

    /** Guards against an instance whose reports empty a region or fill it. */
    @Example
    void instanceReportsNonsense() {
        mSimulation.mScale = region -> region == 0 ? 1.3 : 0.9;
        mSimulation.advanceSeconds(30, false, ALL);
        double factor = mSimulation.factor(0);
        int[] homes = mSimulation.homes(0, true);
        mSimulation.mNoise.put(zone(2), 50.0);
        mSimulation.advanceSeconds(2, false, ALL);
        mSimulation.mNoise.clear();
        assertThat(difference(homes, mSimulation.homes(0, true))).isLessThan(2 * STEP);
        mSimulation.advanceSeconds(30, false, ALL);
        assertThat(mSimulation.factor(0)).isBetween(factor * 0.84, factor * 1.19);
    }

    /** Guards against more moved keys in 2 s than the platform permits. */
    @Property(tries = 20, seed = "23")
    void neverMoreThanBoundOfMovedKeysInTwoSeconds(@ForAll long seed) {
        Random random = new Random(seed);
        RegionSimulation simulation = new RegionSimulation(LoadControlMode.ON);
        List<int[]> former = new ArrayList<>();
        simulation.advanceSeconds(2, false, ALL);
        double[] scale = {1, 1, 1};
        simulation.mScale = region -> scale[(int) region];
        for (int each = 0; each < 80; each++) {
            if (each % 12 == 0) {
                scale[random.nextInt(3)] = 3 * random.nextDouble();
            }
            former.add(simulation.homes(each % 2, true));
            int[] reporting = random.nextInt(5) == 0 ? new int[] {1, 2} : ALL;
            simulation.advance(random.nextBoolean(), reporting);
            if (former.size() > 8) {
                int[] homes = simulation.homes((each - 8) % 2, true);
                assertThat(difference(former.get(each - 8), homes))
                        .isLessThanOrEqualTo(RegionSimulation.REGION_SHIFT);
            }
        }
    }

    /** Guards against a step beyond a small bound. */
    @Example
    void stepThatMovesTooManyKeysIsNotTaken() {
        List<Integer> steps = new ArrayList<>();
        mSimulation.mBalancer.setListener((service, region, number, use) -> steps.add(number));
        mSimulation.advanceSeconds(4, false, ALL);
        mSimulation.mScale = region -> region == 0 ? 1.5 : 0.9;
        for (int each = 0; each < 40; each++) {
            mSimulation.mNowMillis += TimeUnit.SECONDS.toMillis(1);
            mSimulation.mBalancer.update(
                    RegionSimulation.SERVICE,
                    new RegionBalancer.Observation(
                            Map.of(zone(0), 400.0, zone(2), 200.0, zone(4), 200.0),
                            TimeUnit.MILLISECONDS.toNanos(350),
                            RegionSimulation.FAR),
                    mSimulation.mTable,
                    Map.of(),
                    0.03,
                    mSimulation.nanos());
        }
        assertThat(steps).isEmpty();
    }
}
