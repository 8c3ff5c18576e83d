package io.masticpond.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.capacity.CapacityDriver.Instance;
import io.masticpond.core.loadcontrol.LoadControlMode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.LongRange;

/**
 * Guards against a full service that serves one zone or workspace at the expense of others, and
 * against refusals by a wrong view of the load while the service could serve. Patterns are played
 * with and without load control.
 */
class CapacityGateTest {

    private static final int OBJECTS = 120;
    private static final int WORKSPACES = 8;
    private static final LoadControlMode OFF = LoadControlMode.OFF;
    private static final LoadControlMode ON = LoadControlMode.ON;

    /** Without shares, eight times the demand of one workspace takes the slots of the others. */
    @Example
    void hotWorkspaceTwice() {
        DoubleUnaryOperator hot =
                second -> second > 3 && second < 7 || second > 9 && second < 13 ? 8 : 1;
        Map<String, Served> off = playWorkspaces(OFF, hot);
        Map<String, Served> on = playWorkspaces(ON, hot);
        Served usual = sum(withoutHot(on));
        Served before = sum(withoutHot(off));
        report("hotWorkspaceTwice", before, usual);
        assertThat(usual.inTime()).isGreaterThan(before.inTime() + 0.2);
        assertThat(usual.served()).isGreaterThan(before.served() + 0.15);
        assertThat(on.get("hot").served()).as("the hot one keeps its share").isGreaterThan(0.35);
    }

    /** The callers of other workspaces must be served as if the busy one sent its usual load. */
    @Example
    void hotWorkspaceTakesNothingFromOthers() {
        DoubleUnaryOperator hot =
                second -> second > 3 && second < 7 || second > 9 && second < 13 ? 8 : 1;
        Served calm = sum(withoutHot(playWorkspaces(ON, second -> 1)));
        Served beside = sum(withoutHot(playWorkspaces(ON, hot)));
        report("hotWorkspaceTakesNothingFromOthers", calm, beside);
        assertThat(beside.served()).isGreaterThanOrEqualTo(calm.served());
    }

    /** Answers that are served late cost the callers of other workspaces as much as refusals. */
    @Property(seed = "41", generation = GenerationMode.EXHAUSTIVE, shrinking = ShrinkingMode.OFF)
    void hotWorkspaceDelaysNoOthers(@ForAll @LongRange(min = 1, max = 4) long seed) {
        DoubleUnaryOperator hot =
                second -> second > 3 && second < 7 || second > 9 && second < 13 ? 8 : 1;
        Served calm = sum(withoutHot(playWorkspaces(ON, seed, second -> 1)));
        Served beside = sum(withoutHot(playWorkspaces(ON, seed, hot)));
        report("hotWorkspaceDelaysNoOthers, seed " + seed, calm, beside);
        assertThat(beside.inTime()).isGreaterThanOrEqualTo(calm.inTime());
    }

    /** Callers of a region with a tenth of the servers and a third of the callers. */
    @Example
    void oneRegionHasTenth() {
        List<Served> worst = new ArrayList<>();
        for (LoadControlMode mode : List.of(OFF, ON)) {
            CapacityDriver driver = new CapacityDriver(mode, 2);
            driver.addRegion("a", 18, 4);
            driver.addRegion("b", 18, 4);
            driver.addRegion("c", 4, 4);
            playZones(driver, 1.1, second -> 1, 16);
            worst.add(worst(driver));
        }
        report("oneRegionHasTenth, worst zone", worst.get(0), worst.get(1));
        assertThat(worst.get(1).served()).isGreaterThanOrEqualTo(worst.get(0).served());
        assertThat(worst.get(1).inTime()).isGreaterThanOrEqualTo(worst.get(0).inTime());
    }

    /** Before the caches are filled, all answers are late, and refusing them would gain nothing. */
    @Example
    void coldStartOfAll() {
        List<Served> all = new ArrayList<>();
        for (LoadControlMode mode : List.of(OFF, ON)) {
            CapacityDriver driver = evenRegions(mode, 3);
            driver.connect();
            double rate = 0.8 * driver.hitCapacity() / driver.mInstances.size();
            for (Instance each : driver.mInstances) {
                driver.send(each, each.mZone.value(), 1, OBJECTS, second -> rate);
            }
            driver.run(6);
            all.add(sum(driver.mServed));
        }
        report("coldStartOfAll", all.get(0), all.get(1));
        assertThat(all.get(1).served()).isGreaterThan(all.get(0).served() - 0.02);
    }

    /** The part of an instance that ended stays reserved, but its slots must not stay unused. */
    @Example
    void instanceKilledWhileOthersCountOnItsShare() {
        CapacityDriver driver = evenRegions(ON, 4);
        driver.atSecond(4, () -> driver.mInstances.get(0).mAlive = false);
        playZones(driver, 1.1, second -> 1, 10);
        CapacityDriver whole = evenRegions(ON, 4);
        playZones(whole, 1.1, second -> 1, 10);
        report("instanceKilled", sum(whole.mServed), sum(driver.mServed));
        assertThat(sum(driver.mServed).served())
                .as("less load and the same servers")
                .isGreaterThan(sum(whole.mServed).served());
    }

    /** Reports from before a shift of demand between zones must not fix the shares. */
    @Example
    void oldReports() {
        CapacityDriver driver = evenRegions(ON, 5);
        driver.atSecond(3, () -> driver.mReportsStopped = true);
        playZones(driver, 1.1, second -> 1, 10);
        CapacityDriver fresh = evenRegions(ON, 5);
        playZones(fresh, 1.1, second -> 1, 10);
        report("oldReports", sum(fresh.mServed), sum(driver.mServed));
        assertThat(sum(driver.mServed).served()).isGreaterThan(sum(fresh.mServed).served() - 0.03);
        assertThat(worst(driver).served()).isGreaterThan(worst(fresh).served() - 0.05);
    }

    /**
     * An instance that reports the greatest demand must not take the shares of other zones, whether
     * it claims that all of its requests are admitted or none.
     */
    @Example
    void instanceReportsNonsense() {
        CapacityDriver sound = evenRegions(ON, 6);
        playZones(sound, 1.1, second -> 1, 10);
        for (double admitted : new double[] {6_553.5, 0}) {
            CapacityDriver driver = evenRegions(ON, 6);
            driver.mInstances.get(0).mNonsense =
                    Map.of(
                            new DemandKey(CapacityDriver.SERVICE, 1, new WorkspaceHash(77)),
                            new Demand(6_553.5, admitted));
            playZones(driver, 1.1, second -> 1, 10);
            String ownZone = driver.mInstances.get(0).mZone.value();
            report("nonsense, admitted " + admitted, sum(sound.mServed), sum(driver.mServed));
            driver.mServed.forEach(
                    (zone, served) -> {
                        if (!zone.equals(ownZone)) {
                            assertThat(served.served())
                                    .as(zone)
                                    .isGreaterThan(sound.mServed.get(zone).served() - 0.03);
                        }
                    });
            assertThat(sum(driver.mServed).served())
                    .isGreaterThan(sum(sound.mServed).served() - 0.05);
        }
    }

    /** A capacity that is far too low must not leave slots unused, below full or above. */
    @Example
    void capacityEstimateIsTenTimesTooLow() {
        for (double load : new double[] {0.6, 1.1}) {
            CapacityDriver low = evenRegions(ON, 7);
            low.mSendingInstances = 10 * low.mInstances.size();
            playZones(low, load, second -> 1, 10);
            CapacityDriver right = evenRegions(ON, 7);
            playZones(right, load, second -> 1, 10);
            report("capacityTooLow at " + load, sum(right.mServed), sum(low.mServed));
            assertThat(sum(low.mServed).served()).isGreaterThan(sum(right.mServed).served() - 0.02);
        }
    }

    /** Less urgent requests must not delay more urgent ones that the service can serve. */
    @Example
    void moreUrgentFirst() {
        List<Map<String, Served>> results = new ArrayList<>();
        for (LoadControlMode mode : List.of(OFF, ON)) {
            CapacityDriver driver = evenRegions(mode, 8);
            start(driver);
            double rate = 0.5 * driver.hitCapacity() / driver.mInstances.size();
            for (Instance each : driver.mInstances) {
                driver.send(each, "urgent", 0, OBJECTS, second -> rate);
                driver.send(each, "other", 5, OBJECTS, second -> 2 * rate);
            }
            driver.run(10);
            results.add(driver.mServed);
        }
        Served urgent = results.get(1).get("urgent");
        report("moreUrgentFirst, urgent", results.get(0).get("urgent"), urgent);
        report("moreUrgentFirst, other", results.get(0).get("other"), results.get(1).get("other"));
        assertThat(urgent.served()).isGreaterThan(0.95);
        assertThat(urgent.inTime()).isGreaterThanOrEqualTo(results.get(0).get("urgent").inTime());
    }

    /** Below full, and where load control is not active, the wrapped gate decides alone. */
    @Example
    void belowFullTheSameAsTheWrappedGate() {
        List<Map<String, Served>> results = new ArrayList<>();
        for (LoadControlMode mode : List.of(OFF, ON)) {
            CapacityDriver driver = evenRegions(mode, 9);
            playZones(driver, 0.5, second -> 1, 6);
            results.add(driver.mServed);
        }
        assertThat(results.get(1).toString()).isEqualTo(results.get(0).toString());
    }

    /** A service becomes full and is no longer full with one call of the listener each. */
    @Example
    void fullnessIsReportedOncePerChange() {
        CapacityDriver driver = evenRegions(ON, 10);
        List<ServiceLoadView> changes = new ArrayList<>();
        driver.mInstances.get(0).mGate.setListener(changes::add);
        playZones(driver, 1, second -> second > 2 && second < 6 ? 1.3 : 0.4, 14);
        assertThat(changes).extracting(ServiceLoadView::full).containsExactly(true, false);
        assertThat(changes.get(0).capacityPerSecond()).isPositive();
    }

    private static Map<String, Served> playWorkspaces(
            LoadControlMode mode, DoubleUnaryOperator hot) {
        return playWorkspaces(mode, 1, hot);
    }

    private static Map<String, Served> playWorkspaces(
            LoadControlMode mode, long seed, DoubleUnaryOperator hot) {
        CapacityDriver driver = evenRegions(mode, seed);
        start(driver);
        double rate = 0.8 * driver.hitCapacity() / driver.mInstances.size() / WORKSPACES;
        for (Instance each : driver.mInstances) {
            driver.send(each, "hot", 1, OBJECTS, second -> rate * hot.applyAsDouble(second));
            for (int number = 1; number < WORKSPACES; number++) {
                driver.send(each, "usual-" + number, 1, OBJECTS, second -> rate);
            }
        }
        driver.run(14);
        return driver.mServed;
    }

    /** Plays the same load in each zone, relative to the capacity for hits. */
    private static void playZones(
            CapacityDriver driver, double load, DoubleUnaryOperator factor, double seconds) {
        start(driver);
        double rate = load * driver.hitCapacity() / driver.mInstances.size();
        for (Instance each : driver.mInstances) {
            driver.send(
                    each,
                    each.mZone.value(),
                    1,
                    OBJECTS,
                    second -> rate * factor.applyAsDouble(second));
        }
        driver.run(seconds);
    }

    private static CapacityDriver evenRegions(LoadControlMode mode, long seed) {
        CapacityDriver driver = new CapacityDriver(mode, seed);
        driver.addRegion("a", 12, 4);
        driver.addRegion("b", 12, 4);
        driver.addRegion("c", 12, 4);
        return driver;
    }

    private static void start(CapacityDriver driver) {
        driver.connect();
        driver.fillCaches(OBJECTS);
    }

    private static Map<String, Served> withoutHot(Map<String, Served> served) {
        Map<String, Served> others = new TreeMap<>(served);
        others.remove("hot");
        return others;
    }

    private static Served sum(Map<String, Served> served) {
        return sum(served.values());
    }

    private static Served sum(Collection<Served> served) {
        Served sum = new Served();
        served.forEach(sum::add);
        return sum;
    }

    private static Served worst(CapacityDriver driver) {
        return driver.mServed.values().stream()
                .min(Comparator.comparingDouble(Served::served))
                .orElseThrow();
    }

    private static void report(String pattern, Served reference, Served result) {
        System.out.println(pattern + ": " + result + "; reference " + reference);
    }
}
