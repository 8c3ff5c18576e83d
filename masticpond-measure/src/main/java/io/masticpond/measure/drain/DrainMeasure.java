package io.masticpond.measure.drain;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasurePlot;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.MeasureTarget;
import java.util.ArrayList;
import java.util.List;

/**
 * {@link Measure} of the time for which backend servers that leave still receive new requests, and
 * of the number of requests that their stop interrupts.
 *
 * @since 0.1
 */
public final class DrainMeasure implements Measure {

    private static final int ROUNDS = 4;
    private static final double NEW_WORK_TARGET = 2_000;

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String explanation() {
        return """
        Half of 16 backend servers leave at once, each announcing it in another way: late, in
        one place only, or against a health answer that claims all is well; 4.5 s later they
        stop. One admitter with the daemon's own steering, admission, client and health
        duty sends them 0.4 of the slots' capacity over loopback, 40 ms lognormal service times
        with sigma 1, in real time. newWorkAfterMillis is the longest time at any server
        from the first sign that could be seen to the last new request, as the server counts
        it; cutInFlight counts requests without a whole answer. The same without health calls
        shows what answers alone would tell.\
        """;
    }

    @Override
    public MeasureReport run(long seed) {
        List<DrainRound> rounds = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            rounds.add(runRound(seed + round, true));
        }
        DrainRound roundWithoutChecks = runRound(seed, false);
        MeasureReport report = new MeasureReport();
        report.table(table(rounds, roundWithoutChecks));
        report.plot(plot(rounds, roundWithoutChecks));
        report.figure(
                "newWorkAfterMillis",
                rounds.stream().mapToLong(DrainMeasure::longestNewWorkMillis).max().orElseThrow(),
                MeasureTarget.atMost(NEW_WORK_TARGET));
        report.figure(
                "cutInFlight",
                rounds.stream().mapToLong(DrainRound::incompleteRequests).sum(),
                MeasureTarget.atMost(0));
        report.figure("answered", rounds.stream().mapToLong(DrainRound::answered).sum());
        report.figure("refused", rounds.stream().mapToLong(DrainRound::refused).sum());
        report.figure(
                "newWorkAfterMillisWithoutHealthCalls", longestNewWorkMillis(roundWithoutChecks));
        report.figure("cutInFlightWithoutHealthCalls", roundWithoutChecks.incompleteRequests());
        return report;
    }

    private static DrainRound runRound(long seed, boolean healthChecks) {
        try (DrainBench bench = new DrainBench(seed, healthChecks)) {
            return bench.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("The measure was interrupted.", e);
        }
    }

    private static long longestNewWorkMillis(DrainRound round) {
        return round.outcomes().values().stream()
                .mapToLong(DrainOutcome::newWorkAfterMillis)
                .max()
                .orElseThrow();
    }

    private static long longestNewWorkMillis(List<DrainRound> rounds, DrainKind kind) {
        return rounds.stream()
                .mapToLong(round -> round.outcomes().get(kind).newWorkAfterMillis())
                .max()
                .orElseThrow();
    }

    private static MeasureTable table(List<DrainRound> rounds, DrainRound roundWithoutChecks) {
        List<List<String>> rows = new ArrayList<>();
        for (DrainKind kind : DrainKind.values()) {
            int cutInFlight =
                    rounds.stream()
                            .mapToInt(round -> round.outcomes().get(kind).cutInFlight())
                            .sum();
            DrainOutcome outcomeWithoutChecks = roundWithoutChecks.outcomes().get(kind);
            rows.add(
                    List.of(
                            kind.title(),
                            Long.toString(longestNewWorkMillis(rounds, kind)),
                            Integer.toString(cutInFlight),
                            Long.toString(outcomeWithoutChecks.newWorkAfterMillis()),
                            Integer.toString(outcomeWithoutChecks.cutInFlight())));
        }
        return new MeasureTable(
                "New work after the first sign, and requests at work at the stop",
                List.of(
                        "how the server announces it",
                        "new work, ms (longest of " + ROUNDS + ")",
                        "at work at the stop",
                        "new work without health calls, ms",
                        "at work at the stop without health calls"),
                rows);
    }

    private static MeasurePlot plot(List<DrainRound> rounds, DrainRound roundWithoutChecks) {
        List<Double> kinds = new ArrayList<>();
        List<Double> newWork = new ArrayList<>();
        List<Double> newWorkWithoutChecks = new ArrayList<>();
        for (DrainKind kind : DrainKind.values()) {
            kinds.add(kinds.size() + 1.0);
            newWork.add((double) longestNewWorkMillis(rounds, kind));
            newWorkWithoutChecks.add(
                    (double) longestNewWorkMillis(List.of(roundWithoutChecks), kind));
        }
        return new MeasurePlot(
                "New work after the first sign",
                "row of the table",
                "ms",
                MeasurePlot.Scale.LINEAR,
                List.of(
                        new MeasurePlot.Series("with health calls", kinds, newWork),
                        new MeasurePlot.Series("answers alone", kinds, newWorkWithoutChecks)));
    }
}
