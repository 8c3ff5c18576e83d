package io.masticpond.measure.spending;

import io.masticpond.core.spending.AllotmentPolicy;
import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasurePlot;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * {@link Measure} of whether spending stays below the cap, how much crashes strand, how long a
 * cut-off instance continues, and how often the platform is called.
 *
 * @since 0.1
 */
public final class SpendingCapMeasure implements Measure {

    private static final double MIN_SPENT_SHARE = 0.97;
    private static final double LOST_SHARE = 0.05;
    private static final int CRASHES = 12;
    private static final int PAUSES = 12;
    private static final Duration OUTAGE = Duration.ofMinutes(10);
    private static final int[] FLEET_SIZES = {9, 50, 100, 200, 410};
    private static final int[] COVER_SECONDS = {30, 60, 120, 300, 600, 900, 1_800, 3_600};
    private static final int CUTS = 9;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENT = 100;

    @Override
    public String name() {
        return "spending-cap";
    }

    @Override
    public String explanation() {
        return """
        Nine instances spend through a shift of eight hours and over its border, with
        lost answers, late writes, deaths, pauses, wrong clocks and outages of the
        platform; what is spent is counted at the fake backend servers by true time.
        overCap counts shifts above their cap; spentShareAtRefusal is the share of the
        cap spent at the first refusal; strandedShare is what one death strands.\
        """;
    }

    @Override
    public MeasureReport run(long seed) {
        MeasureReport report = new MeasureReport();
        measureShifts(report, seed);
        measureFleets(report, seed);
        measureCovers(report, seed);
        return report;
    }

    private static void measureShifts(MeasureReport report, long seed) {
        SpendingScenario plain = SpendingScenario.ofNine(AllotmentPolicy.DEFAULT);
        SpendingScenario faulty = plain.withFaults(LOST_SHARE, PAUSES, OUTAGE, 0);
        SpendingScenario crashing = plain.withFaults(LOST_SHARE, PAUSES, OUTAGE, CRASHES);
        SpendingScenario below = crashing.withDemand(0.9);
        List<List<String>> rows = new ArrayList<>();
        int overCap = 0;
        SpendingSimulation plainRun = new SpendingSimulation(plain, seed).run();
        SpendingSimulation faultyRun = new SpendingSimulation(faulty, seed).run();
        SpendingSimulation crashingRun = new SpendingSimulation(crashing, seed).run();
        SpendingSimulation belowRun = new SpendingSimulation(below, seed).run();
        rows.add(rowOf("no faults", plainRun));
        rows.add(rowOf("lost answers, pauses, outages", faultyRun));
        rows.add(rowOf("the same and 12 deaths", crashingRun));
        rows.add(rowOf("the same, demand 0.9 of the cap", belowRun));
        for (SpendingSimulation run : List.of(plainRun, faultyRun, crashingRun, belowRun)) {
            overCap += run.shiftsOverCap();
        }
        report.figure("overCap", overCap, MeasureTarget.atMost(0));
        report.figure(
                "spentShareAtRefusal",
                Math.min(plainRun.spentShareAtRefusal(), faultyRun.spentShareAtRefusal()),
                MeasureTarget.atLeast(MIN_SPENT_SHARE));
        report.figure("spentShareWithDeaths", crashingRun.spentShare(0));
        report.figure("strandedShare", crashingRun.strandedShare());
        report.figure("refusedBelowCap", belowRun.refusedOtherwise());
        report.figure(
                "platformWritesPerSecond", ratePerSecond(faultyRun, faultyRun.platform().writes()));
        report.table(
                new MeasureTable(
                        "Nine instances, a shift of 8 h and 5 min of the next",
                        List.of(
                                "faults",
                                "shifts over cap",
                                "spent share at first refusal",
                                "spent share at the end",
                                "stranded share for each death",
                                "refused at the cap",
                                "refused for want of an allotment",
                                "paid requests",
                                "writes/s",
                                "writes/s, highest",
                                "reads/s",
                                "lost answers"),
                        rows));
    }

    private static List<String> rowOf(String faults, SpendingSimulation run) {
        return List.of(
                faults,
                Integer.toString(run.shiftsOverCap()),
                run.refusedAtCap() == 0 ? "none" : format(run.spentShareAtRefusal()),
                format(run.spentShare(0)),
                format(run.strandedShare()),
                Long.toString(run.refusedAtCap()),
                Long.toString(run.refusedOtherwise()),
                Long.toString(run.charges()),
                format(ratePerSecond(run, run.platform().writes())),
                Long.toString(run.peakWritesPerSecond()),
                format(ratePerSecond(run, run.platform().reads())),
                Long.toString(run.platform().lostAnswers()));
    }

    private static void measureFleets(MeasureReport report, long seed) {
        List<List<String>> rows = new ArrayList<>();
        for (int instances : FLEET_SIZES) {
            SpendingSimulation run =
                    new SpendingSimulation(SpendingScenario.ofFleet(instances), seed).run();
            FakeLedgerPlatform platform = run.platform();
            double bytes = ratePerSecond(run, platform.bytes()) / instances;
            rows.add(
                    List.of(
                            Integer.toString(instances),
                            Integer.toString(run.shiftsOverCap()),
                            format(run.spentShareAtRefusal()),
                            format(ratePerSecond(run, platform.writes())),
                            Long.toString(run.peakWritesPerSecond()),
                            format((double) platform.conflicts() / platform.writes()),
                            format(ratePerSecond(run, platform.reads())),
                            format(bytes)));
            if (instances == FLEET_SIZES[FLEET_SIZES.length - 1]) {
                report.figure("overCapFleet", run.shiftsOverCap(), MeasureTarget.atMost(0));
                report.figure(
                        "platformWritesPerSecondFleet", ratePerSecond(run, platform.writes()));
                report.figure("platformWritesPerSecondFleetPeak", run.peakWritesPerSecond());
                report.figure("ledgerBytesPerSecondFleet", bytes);
            }
        }
        report.table(
                new MeasureTable(
                        "One service, a shift of 1 h, demand 1.25 of the cap, 1% of answers lost",
                        List.of(
                                "instances",
                                "shifts over cap",
                                "spent share at first refusal",
                                "writes/s",
                                "writes/s, highest",
                                "conflicts for each write",
                                "reads/s",
                                "ledger bytes/s for each instance"),
                        rows));
    }

    private static void measureCovers(MeasureReport report, long seed) {
        List<List<String>> rows = new ArrayList<>();
        List<Double> stranded = new ArrayList<>();
        List<Double> seconds = new ArrayList<>();
        for (int cover : COVER_SECONDS) {
            AllotmentPolicy policy =
                    new AllotmentPolicy(
                            Duration.ofSeconds(cover),
                            AllotmentPolicy.DEFAULT.shareDivisor(),
                            AllotmentPolicy.DEFAULT.writesPerSecond());
            CutOffRun run = new CutOffRun(policy, seed);
            run.run(CUTS);
            stranded.add(PERCENT * run.strandedShare());
            seconds.add(run.meanSeconds());
            rows.add(
                    List.of(
                            Integer.toString(cover),
                            format(run.minimumSeconds()),
                            format(run.meanSeconds()),
                            format(PERCENT * run.strandedShare()),
                            format(run.writesPerSecond())));
            if (cover == AllotmentPolicy.DEFAULT.cover().toSeconds()) {
                report.figure("cutOffSeconds", run.meanSeconds());
                report.figure("cutOffSecondsLeast", run.minimumSeconds());
            }
        }
        report.table(
                new MeasureTable(
                        "How long a cut-off instance goes on, and what its death strands",
                        List.of(
                                "cover s",
                                "least s",
                                "mean s",
                                "stranded % of the cap for each death",
                                "writes/s"),
                        rows));
        report.plot(
                new MeasurePlot(
                        "Time that a cut-off instance goes on against what its death strands",
                        "stranded share of the cap for each death, %",
                        "time until the first refusal, s",
                        MeasurePlot.Scale.DOUBLE_LOGARITHMIC,
                        List.of(
                                new MeasurePlot.Series(
                                        "9 instances, shift of 8 h", stranded, seconds))));
    }

    private static double ratePerSecond(SpendingSimulation run, long count) {
        return count / (run.events().nanos() / NANOS_PER_SECOND);
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.4f", value);
    }
}
