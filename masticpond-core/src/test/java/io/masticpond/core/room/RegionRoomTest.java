package io.masticpond.core.room;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.loadcontrol.LoadControlMode;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the prediction of utilization and the steps that follow from it. */
class RegionRoomTest {

    private static final double FAR = RegionSimulation.FAR;

    private static RegionRoom random(Random random) {
        Map<RegionId, RegionLoad> loads = new HashMap<>();
        for (int each = 0; each < 2 + random.nextInt(4); each++) {
            int servers = random.nextInt(40);
            double perSecond = 400 * random.nextDouble();
            loads.put(
                    RegionSimulation.region(each), new RegionLoad(perSecond, servers, 6 * servers));
        }
        return new RegionRoom(loads, 0.6 * random.nextDouble(), FAR);
    }

    /** Guards against a prediction that differs from the homes that keys have. */
    @Example
    void predictsUtilizationOfDrawnHomes() {
        RegionSimulation simulation = new RegionSimulation(LoadControlMode.ON);
        RegionRoom room =
                new RegionRoom(
                        Map.of(
                                RegionSimulation.region(0), new RegionLoad(256, 8, 48),
                                RegionSimulation.region(1), new RegionLoad(256, 34, 204),
                                RegionSimulation.region(2), new RegionLoad(256, 34, 204)),
                        0.35,
                        FAR);
        for (int region = 0; region < RegionSimulation.REGIONS; region++) {
            double drawn = simulation.utilization(region, false, false);
            assertThat(room.utilization(Map.of()).get(RegionSimulation.region(region)))
                    .isBetween(drawn - 0.06, drawn + 0.06);
        }
    }

    /** Guards against a range without a number of steps, and steps that fill another region. */
    @Property(tries = 500, seed = "41")
    void stepsNeverRaiseGreatestUtilizationAndFormRange(@ForAll long seed) {
        RegionRoom room = random(new Random(seed));
        Map<RegionId, Integer> least = room.steps(0.85, 0.1);
        Map<RegionId, Integer> most = room.steps(0.7, 0.02);
        least.forEach((region, steps) -> assertThat(steps).isBetween(0, most.get(region)));
        double before = greatest(room, Map.of());
        assertThat(greatest(room, least)).isLessThanOrEqualTo(before);
        assertThat(greatest(room, most)).isLessThanOrEqualTo(greatest(room, least));
        if (before <= 0.7) {
            assertThat(most.values()).allMatch(steps -> steps == 0);
        }
    }

    private static double greatest(RegionRoom room, Map<RegionId, Integer> steps) {
        return room.utilization(steps).values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
    }

    /** Guards against a step that moves more than a third of the bound of the platform. */
    @Property(tries = 500, seed = "43")
    void stepOfOneRegionMovesFewKeys(@ForAll long seed) {
        Random random = new Random(seed);
        RegionRoom room = random(random);
        Map<RegionId, Integer> before = new HashMap<>();
        for (int each = 0; each < 6; each++) {
            before.put(RegionSimulation.region(each), random.nextInt(10));
        }
        for (int each = 0; each < 6; each++) {
            Map<RegionId, Integer> after = new HashMap<>(before);
            after.merge(RegionSimulation.region(each), 1, Integer::sum);
            assertThat(room.movedShare(before, after)).isLessThan(0.044);
            assertThat(room.movedShare(after, before)).isLessThan(0.044);
        }
    }

    @Example
    void regionsWithoutServersOrKnownTimesNeedNoSteps() {
        RegionId region = RegionSimulation.region(0);
        RegionRoom empty = new RegionRoom(Map.of(region, new RegionLoad(9, 0, 0)), 1, FAR);
        assertThat(empty.steps(0.85, 0.1)).isEmpty();
        assertThat(empty.utilization(Map.of())).isEmpty();
        RegionRoom unknown = new RegionRoom(Map.of(region, new RegionLoad(9, 1, 1)), 0, FAR);
        assertThat(unknown.steps(0.85, 0.1)).isEqualTo(Map.of(region, 0));
    }
}
