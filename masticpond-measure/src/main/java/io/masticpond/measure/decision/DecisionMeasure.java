package io.masticpond.measure.decision;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Plays load patterns against the decisions as they are, and with one mechanism set otherwise.
 *
 * @since 0.2
 */
public final class DecisionMeasure implements Measure {

    /** What is played in a large fleet, where a play takes some seconds. */
    private static final List<LoadPattern> FLEET_PATTERNS =
            List.of(LoadPattern.COLD_START, LoadPattern.BURST, LoadPattern.SERVERS_DIE);

    private static final List<DecisionVariant> FLEET_VARIANTS =
            List.of(
                    DecisionVariant.AS_IT_IS,
                    DecisionVariant.NO_SHARED_LOADS,
                    DecisionVariant.TRUE_LOADS);

    private static final List<String> COLUMNS =
            List.of(
                    "pattern",
                    "variant",
                    "worth",
                    "worst region",
                    "worst kind",
                    "worst 2 s",
                    "late",
                    "refused",
                    "failed",
                    "sends to other regions",
                    "bytes from other regions",
                    "turned away");

    @Override
    public String name() {
        return "decisions";
    }

    @Override
    public String explanation() {
        return "Placement, limits and retries as the entry has them, on a simulated clock: ten"
                + " instances, 38 servers in three regions, one of them small, 720 requests a"
                + " second for 24 s. Worth is 1 for an answer in time, 0.2 for a late one. Each"
                + " load pattern is played with all mechanisms and with one set otherwise. Three"
                + " of them are played in a fleet too: 95 instances, 376 servers with few slots,"
                + " 2,000 requests a second.";
    }

    @Override
    public MeasureReport run(long seed) {
        MeasureReport report = new MeasureReport();
        List<List<String>> rows = new ArrayList<>();
        for (LoadPattern pattern : LoadPattern.values()) {
            for (DecisionVariant variant : DecisionVariant.values()) {
                DecisionStatistics tally =
                        play(DecisionScenario.TEN_INSTANCES, variant, pattern, seed);
                rows.add(row(pattern, variant, tally));
                if (variant == DecisionVariant.AS_IT_IS) {
                    report.figure("worth" + capitalized(pattern), tally.utility());
                }
            }
        }
        report.table(new MeasureTable("Load patterns, seed " + seed, COLUMNS, rows));
        report.table(new MeasureTable("A fleet, seed " + seed, COLUMNS, fleet(seed, report)));
        return report;
    }

    private static List<List<String>> fleet(long seed, MeasureReport report) {
        List<List<String>> rows = new ArrayList<>();
        for (LoadPattern pattern : FLEET_PATTERNS) {
            for (DecisionVariant variant : FLEET_VARIANTS) {
                DecisionStatistics tally = play(DecisionScenario.FLEET, variant, pattern, seed);
                rows.add(row(pattern, variant, tally));
                if (variant == DecisionVariant.AS_IT_IS) {
                    report.figure("worthFleet" + capitalized(pattern), tally.utility());
                }
            }
        }
        return rows;
    }

    private static DecisionStatistics play(
            DecisionScenario shape, DecisionVariant variant, LoadPattern pattern, long seed) {
        return new DecisionSimulation(shape, variant, pattern, seed).run();
    }

    private static List<String> row(
            LoadPattern pattern, DecisionVariant variant, DecisionStatistics tally) {
        return List.of(
                words(pattern),
                words(variant),
                number(tally.utility()),
                number(tally.worstRegion()),
                number(tally.worstKind()),
                number(tally.worstWindow()),
                number(tally.share(DecisionStatistics.End.LATE)),
                number(tally.share(DecisionStatistics.End.REFUSED)),
                number(tally.share(DecisionStatistics.End.FAILED)),
                number(tally.farShare()),
                number(tally.farByteShare()),
                String.valueOf(tally.rejectedByServerCount()));
    }

    private static String words(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Gives the words of a name as one, each with a capital. */
    private static String capitalized(Enum<?> constant) {
        return Arrays.stream(words(constant).split(" "))
                .map(word -> word.substring(0, 1).toUpperCase(Locale.ROOT) + word.substring(1))
                .collect(Collectors.joining());
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
