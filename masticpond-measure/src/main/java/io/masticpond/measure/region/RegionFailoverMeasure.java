package io.masticpond.measure.region;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.region.ShardScope;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasurePlot;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import io.masticpond.measure.support.Deployment;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * {@link Measure} of the loss of a region under load and its cold return.
 *
 * @since 0.1
 */
public final class RegionFailoverMeasure implements Measure {

    private static final double LOAD = 0.6;

    /** One service of each kind: one with reads, one whose operations run once. */
    private static final int SERVICE_COUNT = 2;

    private static final int STOP_SECOND = 10;
    private static final int LOSS_SECOND = 20;
    private static final int INSTANCES_KILLED_SECOND = 25;
    private static final int RETURN_SECOND = 50;
    private static final int END_SECOND = 80;
    private static final double TOLERATED_SHARE = 0.01;
    private static final int STEADY_WINDOW = 5;

    /** Faults injected in addition to the loss of the region. */
    private enum FaultScenario {
        NONE("none"),
        MEASUREMENTS_STOPPED("measurements stopped"),
        TWO_INSTANCES_DIE("two instances die");

        private final String mTitle;

        FaultScenario(String title) {
            mTitle = title;
        }
    }

    private record Run(
            Deployment deployment,
            ShardScope scope,
            FaultScenario faultScenario,
            double peakSlotUse,
            double refusedShare,
            double brokenShare,
            double unavoidableShare,
            long secondsToSteady,
            long secondsToSteadyEachSecond,
            MeasurePlot.Series answered) {

        List<String> row() {
            return List.of(
                    deployment.name().toLowerCase(Locale.ROOT),
                    scope.name().toLowerCase(Locale.ROOT),
                    faultScenario.mTitle,
                    String.format(Locale.ROOT, "%.2f", peakSlotUse),
                    String.format(Locale.ROOT, "%.4f", refusedShare),
                    String.format(Locale.ROOT, "%.4f", brokenShare),
                    String.format(Locale.ROOT, "%.4f", unavoidableShare),
                    Long.toString(secondsToSteady),
                    Long.toString(secondsToSteadyEachSecond));
        }
    }

    @Override
    public String name() {
        return "region-failover";
    }

    @Override
    public String explanation() {
        return "Each deployment, with two services at 0.6 of their slots, loses a region at full"
                + " speed and gets it back cold 30 s later; alone, with measurements stopped,"
                + " and with two instances dying meanwhile. Slot use is counted by the fake"
                + " backend servers of the other regions, whoever sent the work. Steady means"
                + " that in every later window of 5 s at most 1% of the requests end without an"
                + " answer; the same for every later second is given too, which at 0.96 of the"
                + " slots left also counts bursts of arrivals long after the loss.";
    }

    @Override
    public MeasureReport run(long seed) {
        List<Run> runs = new ArrayList<>();
        for (Deployment deployment : Deployment.values()) {
            for (FaultScenario faultScenario : FaultScenario.values()) {
                runs.add(run(deployment, ShardScope.ZONE, faultScenario, seed));
            }
        }
        runs.add(run(Deployment.ATLAS, ShardScope.REGION, FaultScenario.TWO_INSTANCES_DIE, seed));
        return report(runs);
    }

    private static Run run(
            Deployment deployment, ShardScope scope, FaultScenario faultScenario, long seed) {
        RegionSimulation simulation = new RegionSimulation(deployment, scope, SERVICE_COUNT, seed);
        RegionId lostRegion = simulation.regionOf(deployment.zones().get(0));
        Predicate<ZoneId> otherRegions = zone -> !simulation.regionOf(zone).equals(lostRegion);
        simulation.offer(LOAD);
        runUntil(simulation, STOP_SECOND);
        if (faultScenario == FaultScenario.MEASUREMENTS_STOPPED) {
            simulation.stopMeasurements();
        }
        runUntil(simulation, LOSS_SECOND);
        simulation.servers(otherRegions).forEach(FakeServer::resetPeak);
        double unavoidable = unavoidableShare(simulation, otherRegions);
        simulation.killRegion(lostRegion);
        runUntil(simulation, INSTANCES_KILLED_SECOND);
        if (faultScenario == FaultScenario.TWO_INSTANCES_DIE) {
            RegionId otherRegion = simulation.regionOf(deployment.zones().get(1));
            List<InstanceId> killedInstances = simulation.instancesIn(otherRegion).subList(0, 2);
            killedInstances.forEach(simulation::killInstance);
        }
        runUntil(simulation, RETURN_SECOND);
        simulation.restartRegionCold(lostRegion);
        runUntil(simulation, END_SECOND);
        OutcomeCounts counts = simulation.counts();
        return new Run(
                deployment,
                scope,
                faultScenario,
                simulation.servers(otherRegions).stream()
                        .mapToDouble(FakeServer::peakUse)
                        .max()
                        .orElse(0),
                counts.share(LOSS_SECOND, RETURN_SECOND, Outcome.REFUSED),
                counts.share(LOSS_SECOND, RETURN_SECOND, Outcome.BROKEN),
                unavoidable,
                secondsToSteady(counts, STEADY_WINDOW),
                secondsToSteady(counts, 1),
                series(deployment, scope, faultScenario, counts));
    }

    private static long secondsToSteady(OutcomeCounts counts, int window) {
        return Math.max(
                counts.secondsToSteady(LOSS_SECOND, RETURN_SECOND, window, TOLERATED_SHARE),
                counts.secondsToSteady(
                        RETURN_SECOND, completeSecondsEnd(), window, TOLERATED_SHARE));
    }

    /** Returns the end, exclusive, of the seconds whose requests have all ended. */
    private static int completeSecondsEnd() {
        return END_SECOND - Deployment.DEADLINE_MILLIS / 1000;
    }

    private static void runUntil(RegionSimulation simulation, int second) {
        simulation.events().runUntil(TimeUnit.SECONDS.toNanos(second));
    }

    private static double unavoidableShare(
            RegionSimulation simulation, Predicate<ZoneId> otherRegions) {
        double remainingSlots = slots(simulation, otherRegions);
        double offered = LOAD * slots(simulation, zone -> true);
        return Math.max(0, 1 - remainingSlots / offered);
    }

    private static int slots(RegionSimulation simulation, Predicate<ZoneId> zones) {
        return simulation.servers(zones).stream()
                .map(FakeServer::specification)
                .mapToInt(BackendServerSpecification::slots)
                .sum();
    }

    private static MeasurePlot.Series series(
            Deployment deployment,
            ShardScope scope,
            FaultScenario faultScenario,
            OutcomeCounts counts) {
        List<Double> seconds = new ArrayList<>();
        List<Double> shares = new ArrayList<>();
        for (int second = STOP_SECOND; second < completeSecondsEnd(); second++) {
            seconds.add((double) second);
            shares.add(counts.share(second, second + 1, Outcome.ANSWERED));
        }
        String name =
                String.format("%s, %s, %s", deployment, scope, faultScenario.mTitle)
                        .toLowerCase(Locale.ROOT);
        return new MeasurePlot.Series(name, seconds, shares);
    }

    private static MeasureReport report(List<Run> runs) {
        MeasureReport report = new MeasureReport();
        report.table(
                new MeasureTable(
                        "A region is lost at 20 s and returns cold at 50 s",
                        List.of(
                                "Deployment",
                                "Admitter for each",
                                "Also",
                                "Peak slot use elsewhere",
                                "Refused share",
                                "Broken share",
                                "Unavoidable share",
                                "Seconds to steady, 5 s windows",
                                "Seconds to steady, each second"),
                        runs.stream().map(Run::row).toList()));
        report.plot(
                new MeasurePlot(
                        "Share of requests answered over the loss of a region",
                        "Second",
                        "Answered share",
                        MeasurePlot.Scale.LINEAR,
                        runs.stream().map(Run::answered).toList()));
        List<Run> zoneScoped = runs.stream().filter(run -> run.scope() == ShardScope.ZONE).toList();
        report.figure(
                "peakSlotUse",
                zoneScoped.stream().mapToDouble(Run::peakSlotUse).max().orElse(0),
                MeasureTarget.atMost(1));
        report.figure(
                "refusedShareOverUnavoidable",
                zoneScoped.stream()
                        .mapToDouble(run -> run.refusedShare() - run.unavoidableShare())
                        .max()
                        .orElse(0),
                MeasureTarget.atMost(0.05));
        report.figure(
                "brokenShare", zoneScoped.stream().mapToDouble(Run::brokenShare).max().orElse(0));
        report.figure(
                "secondsToSteady",
                zoneScoped.stream().mapToLong(Run::secondsToSteady).max().orElse(0),
                MeasureTarget.atMost(10));
        report.figure(
                "secondsToSteadyEachSecond",
                zoneScoped.stream().mapToLong(Run::secondsToSteadyEachSecond).max().orElse(0));
        return report;
    }
}
