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
 * Measures the loss of a region under load, and its cold return.
 *
 * @since 0.1
 */
public final class RegionFailoverMeasure implements Measure {

    private static final double LOAD = 0.6;

    /** A service of each kind: one that is read, one whose operations run once. */
    private static final int SERVICES = 2;

    private static final int STOP_SECOND = 10;
    private static final int LOSS_SECOND = 20;
    private static final int DEATHS_SECOND = 25;
    private static final int RETURN_SECOND = 50;
    private static final int END_SECOND = 80;
    private static final double STEADY_SHARE = 0.01;
    private static final int STEADY_WINDOW = 5;

    /** What happens besides the loss of the region. */
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
            FaultScenario trouble,
            double peakSlotUse,
            double refusedShare,
            double brokenShare,
            double unavoidableShare,
            long secondsToSteady,
            long secondsToStable,
            MeasurePlot.Series answered) {

        List<String> row() {
            return List.of(
                    deployment.name().toLowerCase(Locale.ROOT),
                    scope.name().toLowerCase(Locale.ROOT),
                    trouble.mTitle,
                    String.format(Locale.ROOT, "%.2f", peakSlotUse),
                    String.format(Locale.ROOT, "%.4f", refusedShare),
                    String.format(Locale.ROOT, "%.4f", brokenShare),
                    String.format(Locale.ROOT, "%.4f", unavoidableShare),
                    Long.toString(secondsToSteady),
                    Long.toString(secondsToStable));
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
            for (FaultScenario trouble : FaultScenario.values()) {
                runs.add(run(deployment, ShardScope.ZONE, trouble, seed));
            }
        }
        runs.add(run(Deployment.ATLAS, ShardScope.REGION, FaultScenario.TWO_INSTANCES_DIE, seed));
        return report(runs);
    }

    private static Run run(
            Deployment deployment, ShardScope scope, FaultScenario trouble, long seed) {
        RegionSimulation world = new RegionSimulation(deployment, scope, SERVICES, seed);
        RegionId lost = world.regionOf(deployment.zones().get(0));
        Predicate<ZoneId> others = zone -> !world.regionOf(zone).equals(lost);
        world.offer(LOAD);
        runUntil(world, STOP_SECOND);
        if (trouble == FaultScenario.MEASUREMENTS_STOPPED) {
            world.stopMeasurements();
        }
        runUntil(world, LOSS_SECOND);
        world.servers(others).forEach(FakeServer::forgetPeak);
        double unavoidable = unavoidableShare(world, others);
        world.killRegion(lost);
        runUntil(world, DEATHS_SECOND);
        if (trouble == FaultScenario.TWO_INSTANCES_DIE) {
            RegionId other = world.regionOf(deployment.zones().get(1));
            List<InstanceId> victims = world.instancesIn(other).subList(0, 2);
            victims.forEach(world::killInstance);
        }
        runUntil(world, RETURN_SECOND);
        world.returnRegionCold(lost);
        runUntil(world, END_SECOND);
        OutcomeCounts counts = world.counts();
        return new Run(
                deployment,
                scope,
                trouble,
                world.servers(others).stream().mapToDouble(FakeServer::peakUse).max().orElse(0),
                counts.share(LOSS_SECOND, RETURN_SECOND, Outcome.REFUSED),
                counts.share(LOSS_SECOND, RETURN_SECOND, Outcome.BROKEN),
                unavoidable,
                secondsToSteady(counts, STEADY_WINDOW),
                secondsToSteady(counts, 1),
                series(deployment, scope, trouble, counts));
    }

    private static long secondsToSteady(OutcomeCounts counts, int window) {
        return Math.max(
                counts.secondsToSteady(LOSS_SECOND, RETURN_SECOND, window, STEADY_SHARE),
                counts.secondsToSteady(RETURN_SECOND, lastWhole(), window, STEADY_SHARE));
    }

    /** The last second of which every request has ended. */
    private static int lastWhole() {
        return END_SECOND - Deployment.DEADLINE_MILLIS / 1000;
    }

    private static void runUntil(RegionSimulation world, int second) {
        world.events().runUntil(TimeUnit.SECONDS.toNanos(second));
    }

    private static double unavoidableShare(RegionSimulation world, Predicate<ZoneId> others) {
        double left = slots(world, others);
        double offered = LOAD * slots(world, zone -> true);
        return Math.max(0, 1 - left / offered);
    }

    private static int slots(RegionSimulation world, Predicate<ZoneId> zones) {
        return world.servers(zones).stream()
                .map(FakeServer::specification)
                .mapToInt(BackendServerSpecification::slots)
                .sum();
    }

    private static MeasurePlot.Series series(
            Deployment deployment, ShardScope scope, FaultScenario trouble, OutcomeCounts counts) {
        List<Double> seconds = new ArrayList<>();
        List<Double> shares = new ArrayList<>();
        for (int second = STOP_SECOND; second < lastWhole(); second++) {
            seconds.add((double) second);
            shares.add(counts.share(second, second + 1, Outcome.ANSWERED));
        }
        String name =
                String.format("%s, %s, %s", deployment, scope, trouble.mTitle)
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
        List<Run> ours = runs.stream().filter(run -> run.scope() == ShardScope.ZONE).toList();
        report.figure(
                "peakSlotUse",
                ours.stream().mapToDouble(Run::peakSlotUse).max().orElse(0),
                MeasureTarget.atMost(1));
        report.figure(
                "refusedShareOverUnavoidable",
                ours.stream()
                        .mapToDouble(run -> run.refusedShare() - run.unavoidableShare())
                        .max()
                        .orElse(0),
                MeasureTarget.atMost(0.05));
        report.figure("brokenShare", ours.stream().mapToDouble(Run::brokenShare).max().orElse(0));
        report.figure(
                "secondsToSteady",
                ours.stream().mapToLong(Run::secondsToSteady).max().orElse(0),
                MeasureTarget.atMost(10));
        report.figure(
                "secondsToSteadyEachSecond",
                ours.stream().mapToLong(Run::secondsToStable).max().orElse(0));
        return report;
    }
}
