package io.masticpond.measure.region;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.region.ShardScope;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import io.masticpond.measure.support.Deployment;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * {@link Measure} of the share of requests that an availability zone serves while it is cut off
 * from all others.
 *
 * @since 0.1
 */
public final class PartitionMeasure implements Measure {

    private static final double LOAD = 0.85;
    private static final int STABLE_SECOND = 10;
    private static final int CUT_SECOND = 25;
    private static final int HEAL_SECOND = 85;
    private static final int END_SECOND = 100;

    /** Index, in the deployment's list of availability zones, of a zone with two instances. */
    private static final int LARGER_ZONE_INDEX = 0;

    /** Index of a zone of the same region with one instance. */
    private static final int SMALLER_ZONE_INDEX = 3;

    private record Run(
            Deployment deployment,
            ShardScope scope,
            ZoneId zone,
            int instances,
            double servedShare,
            double othersServedShare,
            double peakSlotUse,
            double medianMillis,
            double p99Millis) {

        List<String> row() {
            return List.of(
                    deployment.name().toLowerCase(Locale.ROOT),
                    scope.name().toLowerCase(Locale.ROOT),
                    zone.value(),
                    Integer.toString(instances),
                    String.format(Locale.ROOT, "%.4f", servedShare),
                    String.format(Locale.ROOT, "%.4f", othersServedShare),
                    String.format(Locale.ROOT, "%.2f", peakSlotUse),
                    String.format(Locale.ROOT, "%.0f", medianMillis),
                    String.format(Locale.ROOT, "%.0f", p99Millis));
        }
    }

    @Override
    public String name() {
        return "partition";
    }

    @Override
    public String explanation() {
        return "An availability zone of a deployment whose largest service runs at 0.85 of its"
                + " slots is cut off from all others for 60 s of its time. The served share is"
                + " what its clients were answered of what its own servers could have served;"
                + " slot use is counted by the fake backend servers on both sides, during the"
                + " cut and for 15 s after. One admitter for each zone is compared with one for"
                + " each region.";
    }

    @Override
    public MeasureReport run(long seed) {
        List<Run> runs = new ArrayList<>();
        for (Deployment deployment : Deployment.values()) {
            List<ZoneId> zones = deployment.zones();
            runs.add(run(deployment, ShardScope.ZONE, zones.get(LARGER_ZONE_INDEX), seed));
            runs.add(run(deployment, ShardScope.ZONE, zones.get(SMALLER_ZONE_INDEX), seed));
            runs.add(run(deployment, ShardScope.REGION, zones.get(SMALLER_ZONE_INDEX), seed));
        }
        MeasureReport report = new MeasureReport();
        report.table(
                new MeasureTable(
                        "A zone is cut off for 60 s",
                        List.of(
                                "Deployment",
                                "Admitter for each",
                                "Zone",
                                "Instances in it",
                                "Served share",
                                "Served share elsewhere",
                                "Peak slot use, both sides",
                                "p50 before the cut in ms",
                                "p99 before the cut in ms"),
                        runs.stream().map(Run::row).toList()));
        for (ShardScope scope : ShardScope.values()) {
            addFigures(report, scope, runs.stream().filter(r -> r.scope() == scope).toList());
        }
        return report;
    }

    private static void addFigures(MeasureReport report, ShardScope scope, List<Run> runs) {
        boolean zoneScope = scope == ShardScope.ZONE;
        String suffix = zoneScope ? "" : "RegionAdmitter";
        report.figure(
                "servedShare" + suffix,
                runs.stream().mapToDouble(Run::servedShare).min().orElse(0),
                zoneScope ? MeasureTarget.atLeast(0.95) : MeasureTarget.NONE);
        report.figure(
                "othersServedShare" + suffix,
                runs.stream().mapToDouble(Run::othersServedShare).min().orElse(0));
        report.figure(
                "peakSlotUse" + suffix,
                runs.stream().mapToDouble(Run::peakSlotUse).max().orElse(0),
                zoneScope ? MeasureTarget.atMost(1) : MeasureTarget.NONE);
    }

    private static Run run(Deployment deployment, ShardScope scope, ZoneId zone, long seed) {
        RegionSimulation simulation = new RegionSimulation(deployment, scope, 1, seed);
        simulation.offer(LOAD);
        runUntil(simulation, STABLE_SECOND);
        simulation.counts().recordLatencies(true);
        runUntil(simulation, CUT_SECOND);
        simulation.counts().recordLatencies(false);
        simulation.servers(any -> true).forEach(FakeServer::resetPeak);
        simulation.cutOff(zone);
        runUntil(simulation, HEAL_SECOND);
        simulation.heal();
        runUntil(simulation, END_SECOND);
        int offered = simulation.counts().offered(zone::equals, CUT_SECOND, HEAL_SECOND);
        int answered =
                simulation.counts().count(zone::equals, CUT_SECOND, HEAL_SECOND, Outcome.ANSWERED);
        double capacity =
                simulation.servers(zone::equals).stream()
                                .map(FakeServer::specification)
                                .filter(
                                        each ->
                                                simulation.servesService(
                                                        each, simulation.services().get(0)))
                                .mapToInt(BackendServerSpecification::slots)
                                .sum()
                        / RegionSimulation.MEAN_WORK_SECONDS
                        * (HEAL_SECOND - CUT_SECOND);
        int othersOffered =
                simulation.counts().offered(each -> !each.equals(zone), CUT_SECOND, HEAL_SECOND);
        int othersAnswered =
                simulation
                        .counts()
                        .count(
                                each -> !each.equals(zone),
                                CUT_SECOND,
                                HEAL_SECOND,
                                Outcome.ANSWERED);
        return new Run(
                deployment,
                scope,
                zone,
                (int) deployment.members().stream().filter(m -> m.zone().equals(zone)).count(),
                answered / Math.min(offered, capacity),
                (double) othersAnswered / othersOffered,
                simulation.servers(any -> true).stream()
                        .mapToDouble(FakeServer::peakUse)
                        .max()
                        .orElse(0),
                simulation.counts().latencyMillis(50),
                simulation.counts().latencyMillis(99));
    }

    private static void runUntil(RegionSimulation simulation, int second) {
        simulation.events().runUntil(TimeUnit.SECONDS.toNanos(second));
    }
}
